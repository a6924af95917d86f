// Plans how a box refreshes the state that it caches from the store: step by step, which peers it
// queries and whether it calls the store. Combines WatcherSelector (which box of the zone watches
// the store) and StoreCallPolicy (whether this box calls the store itself).
//
// Owns the times of its queries. Relies on nothing but its inputs, so that whole sites can be
// simulated; PeerSync executes the plan.
#pragma once

#include "include/freshness/StoreCallPolicy.h"
#include "include/freshness/WatcherSelector.h"

#include <optional>
#include <span>
#include <string>

namespace onyx {

// All times in milliseconds.
struct RefreshPlannerSettings {
    WatcherSelectorSettings watcherSelector;
    StoreCallSettings storeCall;
    Millis followPeriod = 333;  // Interval between queries to the watcher.
    // Time after the start of a box until it is assumed to have discovered the boxes of its zone.
    // With two dialing periods (1 s), 281 of 295 boxes that started together took their zone for a
    // small one, and all of them watched the store.
    Millis discoveryTime = 3000;
};

// Inputs of a step.
struct RefreshInputs {
    std::span<const std::string> zoneOrder;  // As for WatcherSelector::choose().
    std::string_view self;
    std::span<const std::string> linked;  // Peers that can be queried, ascending.
    size_t boxes = 1;                     // In the site, including this box.
    bool isSeed = false;                  // See StoreCallInputs.
    bool idle = false;                    // See StoreCallInputs.
    std::optional<Millis> age;            // Of the older part of the state.
    bool overdue = false;                 // The store has not responded to this box in time.
};

// Actions to take now.
struct RefreshPlan {
    StoreCallDecision storeCall;
    std::string watcher;     // The box to query in place of the store; empty: none.
    std::string keepLinked;  // The box to keep a link to; empty: none.
    bool queriesWatcher = false;
    bool queriesPeers = false;  // The peers that PeerQueries::nextPeers() selects.
};

// Period of queries to peers for newer state. A fraction of the time for which keys may be used
// after the last response of the store.
inline constexpr Millis kPeerQueryPeriodMs = 400;
// The same period while a box has no state: until it has some, it refuses callers.
inline constexpr Millis kFirstPeerQueryPeriodMs = 100;

// Plans the queries and store calls of one box. Not thread safe: one task owns it.
class RefreshPlanner {
public:
    // `seed`: of the random waits. Preconditions: none.
    RefreshPlanner(const RefreshPlannerSettings& settings, MonoTime started, uint64_t seed)
        : m_settings(settings),
          m_watcherSelector(settings.watcherSelector),
          m_storeCallPolicy(settings.storeCall, started, seed),
          m_started(started) {}

    // Plans the next actions; to be called about every 100 ms.
    // Preconditions: `now` does not decrease from call to call.
    RefreshPlan step(const RefreshInputs& inputs, MonoTime now);

    // Whether this box, whose state is `age` old, may call the store now.
    // Preconditions: as above.
    bool mayCall(std::optional<Millis> age, MonoTime now);

    // Notes the reply of box `from`: its state is `theirs` old, the state of this box `own`;
    // nothing where a box has none. Preconditions: as above.
    void noteReply(const std::string& from, std::optional<Millis> theirs, std::optional<Millis> own,
                   MonoTime now);

    // Notes that another box queried this one in place of the store. Preconditions: as above.
    void noteFollowerQuery(MonoTime now) { m_followedAt = now; }

    // Whether other boxes follow this one or are about to, so that its state has to be kept fresh.
    // Preconditions: as above.
    bool watchesForOthers(MonoTime now) const;

    // Whether this box relies on peers in normal operation. Preconditions: none.
    bool reliesOnPeers() const {
        return !m_callInputs.isWatcher && !m_callInputs.inSmallZone && m_callInputs.links > 0;
    }

    // Whether the zone is so small that every box of it watches the store. Preconditions: none.
    bool isInSmallZone() const { return m_callInputs.inSmallZone; }

private:
    void updateCallInputs(const RefreshInputs& inputs, MonoTime now);
    bool shouldQueryPeers(const RefreshInputs& inputs) const;

    RefreshPlannerSettings m_settings;
    WatcherSelector m_watcherSelector;
    StoreCallPolicy m_storeCallPolicy;
    MonoTime m_started;
    StoreCallInputs m_callInputs;  // As of the last step.
    MonoTime m_watcherQueriedAt;
    MonoTime m_peersQueriedAt;
    std::optional<MonoTime> m_followedAt;  // Time of the last query of a follower.
};

}  // namespace onyx
