// Decides which boxes of a zone watch the store for the others, and which of them this box asks.
// Inputs: the boxes of the zone in their common order, the links that stand, the ages that watchers
// report.
//
// The reason: watches of every box would make the store's calls grow with the boxes; on a day of a
// site of 85 boxes 10,721 calls became 4,361.
//
// Nothing is agreed on. Each box orders the boxes of its zone alike as far as it knows the same
// ones; the first few are its watchers. A box counts on nothing but the age that a watcher reports:
// one that is gone, or that knows less than others do, is passed over for a while, and the next in
// order takes its place. So two boxes that order differently cost a few calls, never a stale list.
// Whether a box calls the store itself when nobody has young knowledge: StoreCallPolicy.
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
    // A watcher makes two to three calls a second whether anything changes or not, and answers a
    // question or two of each follower in that time; with 32 the ten watchers of a site of 295
    // boxes made a third of all calls of a quiet day. One that is gone costs its followers nothing
    // but a question to others.
    size_t boxesPerWatcher = 128;
    // In a zone of fewer, every box watches: too few calls are saved for the detour.
    size_t minBoxes = 5;
    Millis maxFreshAge = 1000;    // A watcher that stays older than this while others are younger,
    Millis passOverTime = 10000;  // and one that is gone, is passed over for this long.
    // A watcher to which no link comes about, or that is old, for this long: three periods of
    // dialing.
    Millis linkTimeout = 1500;
};

// Not thread safe: one task owns it.
class WatcherSelector {
public:
    explicit WatcherSelector(const WatcherSelectorSettings& settings) : m_settings(settings) {}

    // The box to ask, or empty if this one is to watch by itself or none can be asked. `zoneOrder`:
    // addresses of the zone's boxes in their common order, this one included. `linked`: whether a
    // box can be asked. Preconditions: times do not fall.
    const std::string& choose(std::span<const std::string> zoneOrder, std::string_view self,
                              const std::function<bool(const std::string&)>& linked, MonoTime now);

    // The watcher that this box prefers to ask, linked or not; empty if there is none. A link to it
    // is worth keeping. Preconditions: choose() was called.
    std::string preferred(std::span<const std::string> zoneOrder, std::string_view self) const;

    // Whether this box is one of its zone's watchers, by the order that choose() got last.
    // Preconditions: none.
    bool isWatcher() const { return m_isWatcher; }

    // Boxes before this one in the order that choose() got last, those left out that watch or are
    // passed over. Preconditions: none.
    size_t rank() const { return m_rank; }

    // The watcher `from` noteReply that its knowledge is `theirs` old; this box's own, whoever told
    // it, is `own` old; nothing where there is none. Preconditions: as for choose().
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
    std::string m_preferred;   // The watcher that this box prefers, linked or not,
    MonoTime m_unlinkedSince;  // and since when it is preferred and not linked.
    std::optional<MonoTime>
        m_staleSince;  // When the watcher's knowledge was last fresh, or ours not.
    std::map<std::string, MonoTime> m_passedOver;  // Boxes passed over, and until when.
};

}  // namespace onyx
