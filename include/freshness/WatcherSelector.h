// Selects the boxes of a zone that watch the store for the others, and the one of them that this
// box queries. Inputs: the boxes of the zone in their common order, the established links, the ages
// that watchers report.
//
// If every box watched the store, the number of calls would grow with the number of boxes; on a day
// of a site of 85 boxes, this selection reduced 10,721 calls to 4,361.
//
// There is no agreement protocol. All boxes that know the same boxes of a zone order them alike;
// the first few are the watchers. A box relies only on the age that a watcher reports: a watcher
// that is gone, or whose state is older than that of other boxes, is passed over for a while, and
// the next box in order takes its place. So two boxes with different orders cost a few calls, never
// a stale list. StoreCallPolicy decides whether a box calls the store itself when no box has fresh
// state.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// All times in milliseconds.
struct WatcherSelectorSettings {
    // A watcher makes two to three calls a second, with or without changes, and answers one or two
    // queries a second of each follower. With 32, the ten watchers of a site of 295 boxes made a
    // third of all calls of a quiet day. The loss of a watcher costs its followers only a query to
    // other peers.
    size_t boxesPerWatcher = 128;
    // In a zone of fewer boxes every box watches: a watcher would save too few calls to justify the
    // detour.
    size_t minBoxes = 5;
    Millis maxFreshAge = 1000;    // Greatest age of fresh state.
    Millis passOverTime = 10000;  // How long a watcher that is gone or stale is passed over.
    // A watcher is passed over if no link to it has been established for this long, or if its state
    // has not been fresh for this long while that of this box is: three dialing periods.
    Millis linkTimeout = 1500;
};

// Selects the watcher that one box queries. Not thread safe: one task owns it.
class WatcherSelector {
public:
    explicit WatcherSelector(const WatcherSelectorSettings& settings) : m_settings(settings) {}

    // The box to query, or empty if this box is a watcher or no watcher can be queried.
    // `zoneOrder`: addresses of the boxes of the zone in their common order, including this one.
    // `linked`: whether a box can be queried.
    // Preconditions: `now` does not decrease from call to call.
    const std::string& choose(std::span<const std::string> zoneOrder, std::string_view self,
                              const std::function<bool(const std::string&)>& linked, MonoTime now);

    // The watcher that this box prefers to query, linked or not; empty if there is none. A link to
    // it should be kept. Preconditions: choose() was called.
    std::string preferred(std::span<const std::string> zoneOrder, std::string_view self) const;

    // Whether this box is a watcher of its zone in the order of the last call of choose().
    // Preconditions: none.
    bool isWatcher() const { return m_isWatcher; }

    // Number of boxes before this one in the order of the last call of choose(), without watchers
    // and boxes that are passed over. Preconditions: none.
    size_t rank() const { return m_rank; }

    // Notes the reply of the watcher `from` that its state is `theirs` old. `own`: age of the state
    // of this box, whatever its source. An age is nothing where there is no state.
    // Preconditions: as for choose().
    void noteReply(std::string_view from, std::optional<Millis> theirs, std::optional<Millis> own,
                   MonoTime now);

private:
    std::vector<std::string> watchersOf(std::span<const std::string> zoneOrder) const;
    void updateLinks(std::span<const std::string> zoneOrder, std::string_view self,
                     const std::function<bool(const std::string&)>& linked, MonoTime now);
    void updateRole(std::span<const std::string> zoneOrder, std::string_view self);
    bool isFresh(std::optional<Millis> age) const { return age && *age <= m_settings.maxFreshAge; }

    WatcherSelectorSettings m_settings;
    std::string m_watcher;  // Empty: none.
    bool m_isWatcher = false;
    size_t m_rank = 0;
    std::string m_preferred;   // The preferred watcher, linked or not.
    MonoTime m_unlinkedSince;  // Since when it is preferred and not linked.
    // Since when the state of the watcher is stale while that of this box is fresh.
    std::optional<MonoTime> m_staleSince;
    std::map<std::string, MonoTime> m_passedOver;  // Until when a box is passed over, by address.
};

}  // namespace onyx
