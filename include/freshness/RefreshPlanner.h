// Keeps what a box knows of the store young: decides, step by step, whom it asks and whether it
// calls the store. Puts together WatcherSelector (which box of the zone watches) and
// StoreCallPolicy (whether this box calls itself).
//
// Owns the times of its questions. Relies on nothing but its inputs, so that whole sites of it can
// be replayed; PeerSync carries out what it decides.
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
    Millis followPeriod = 333;  // The watcher is asked this often.
    // A box knows its zone's boxes this long after its start. With two periods of dialing (1 s) 281
    // of 295 boxes that started together took their zone for a small one, and all watched.
    Millis discoveryTime = 3000;
};

// What a step depends on.
struct RefreshInputs {
    std::span<const std::string> zoneOrder;  // As WatcherSelector::choose() takes it.
    std::string_view self;
    std::span<const std::string> linked;  // Boxes that can be asked, in ascending order.
    size_t boxes = 1;                     // Of the site, this one included.
    bool isSeed = false;                  // See StoreCallInputs.
    bool idle = false;                    // The same.
    std::optional<Millis> age;            // Of the older part of what this box knows.
    bool overdue = false;                 // The store has not answered this box in time.
};

// What is to be done now.
struct RefreshPlan {
    StoreCallDecision storeCall;
    std::string watcher;     // The box that is asked in place of the store; empty: none.
    std::string keepLinked;  // A box to keep a link to; empty: none.
    bool queriesWatcher = false;
    bool queriesPeers = false;  // As many as PeerQueries names.
};

// While other boxes are asked for younger knowledge, they are asked once in this time, in
// milliseconds. A fraction of what keys may be used for after the store's last answer.
inline constexpr Millis kPeerQueryPeriodMs = 400;
// The same while a box knows nothing: it refuses callers meanwhile.
inline constexpr Millis kFirstPeerQueryPeriodMs = 100;

// Not thread safe: one task owns it.
class RefreshPlanner {
public:
    // `seed`: of random waits. Preconditions: none.
    RefreshPlanner(const RefreshPlannerSettings& settings, MonoTime started, uint64_t seed)
        : m_settings(settings),
          m_watcherSelector(settings.watcherSelector),
          m_storeCallPolicy(settings.storeCall, started, seed),
          m_started(started) {}

    // Called every tenth of a second or so. Preconditions: times do not fall.
    RefreshPlan step(const RefreshInputs& inputs, MonoTime now);

    // Whether the store may be called right now, by a box whose knowledge is `age` old.
    // Preconditions: as above.
    bool mayCall(std::optional<Millis> age, MonoTime now);

    // Another box's knowledge is `theirs` old, this one's `own`. Preconditions: as above.
    void noteReply(const std::string& from, std::optional<Millis> theirs, std::optional<Millis> own,
                   MonoTime now);

    // Another box asks this one in place of the store. Preconditions: as above.
    void noteFollowerQuery(MonoTime now) { m_followedAt = now; }

    // Whether others follow this box, or are about to: what it knows is to be young.
    // Preconditions: as above.
    bool watchesForOthers(MonoTime now) const;

    // Whether this box relies on others in ordinary times. Preconditions: none.
    bool reliesOnPeers() const {
        return !m_callInputs.isWatcher && !m_callInputs.inSmallZone && m_callInputs.links > 0;
    }

private:
    void updateCallInputs(const RefreshInputs& inputs, MonoTime now);
    bool shouldQueryPeers(const RefreshInputs& inputs) const;

    RefreshPlannerSettings m_settings;
    WatcherSelector m_watcherSelector;
    StoreCallPolicy m_storeCallPolicy;
    MonoTime m_started;
    StoreCallInputs m_callInputs;  // Of the last step.
    MonoTime m_watcherQueriedAt;
    MonoTime m_peersQueriedAt;
    std::optional<MonoTime> m_followedAt;  // When a follower asked last.
};

}  // namespace onyx
