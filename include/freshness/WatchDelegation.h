// Decides which boxes of a zone watch the store, and which ask one of those instead. Inputs: the
// boxes of the zone in their common order, the links that stand, the ages that watchers report.
//
// The reason: watches of every box would make the store's calls grow with the boxes; on a day of a
// site of 85 boxes 10,721 calls became 4,361.
//
// Nothing is agreed on. Each box orders the boxes of its zone alike as far as it knows the same
// ones; the first few are its watchers. A follower counts on nothing but the age that its watcher
// reports: as soon as that grows, the watcher is silent, or it does not watch, the follower watches
// by itself for a while. So two boxes that order differently cost a few calls, never a stale list.
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
struct WatchDelegationSettings {
    // With one watcher in 16 boxes the eight watchers of a site of 87 cost more calls than all
    // else.
    size_t boxesPerWatcher = 32;
    // In a zone of fewer, every box watches: too few calls are saved for the detour. A choice.
    size_t minBoxes = 5;
    Millis maxAge = 1200;  // A follower with older knowledge watches by itself,
    Millis alone = 10000;  // for at least this long.
    // A watcher to which no link comes about for this long is gone: three periods of dialing.
    Millis linkTime = 1500;
};

// What a watcher says of its knowledge.
struct WatcherReply {
    bool watches = false;       // It watches the store itself.
    std::optional<Millis> age;  // Of the older of its two lists; nothing if it lacks one.
};

// Not thread safe: one task owns it.
class WatchDelegation {
public:
    explicit WatchDelegation(const WatchDelegationSettings& settings) : m_settings(settings) {}

    // The box to ask, or empty if this one is to watch by itself. `zoneOrder`: addresses of the
    // zone's boxes in their common order, this one included. `linked`: whether a box can be asked.
    // Preconditions: times do not fall.
    const std::string& choose(std::span<const std::string> zoneOrder, std::string_view self,
                              const std::function<bool(const std::string&)>& linked, MonoTime now);

    // The watcher that this box prefers to follow, linked or not; empty if there is none, or while
    // this box watches by itself. A link to it is worth keeping. Preconditions: as for choose().
    std::string preferred(std::span<const std::string> zoneOrder, std::string_view self,
                          MonoTime now) const;

    // Whether this box is one of its zone's watchers, by the order that choose() got last.
    // Preconditions: none.
    bool isWatcher() const { return m_isWatcher; }

    // Takes in what `from` replied. Until it has once reported an age that is fresh, it is asked
    // on. Preconditions: none.
    void replied(std::string_view from, const WatcherReply& reply, MonoTime now);

    // Takes in how old this box's knowledge is by now; nothing if it lacks some.
    // Preconditions: as for choose().
    void noteAge(std::optional<Millis> age, MonoTime now);

    // Whether the box that choose() named takes the place of the store. Preconditions: none.
    bool following() const { return m_following; }

private:
    std::vector<std::string> watchersOf(std::span<const std::string> zoneOrder) const;
    void noteLinks(std::span<const std::string> zoneOrder, std::string_view self,
                   const std::function<bool(const std::string&)>& linked, MonoTime now);
    void watchAlone(MonoTime now);

    WatchDelegationSettings m_settings;
    std::string m_watcher;  // Empty: none.
    bool m_following = false;
    bool m_isWatcher = false;
    MonoTime m_aloneUntil;
    std::string m_wanted;    // The watcher that this box prefers, linked or not,
    MonoTime m_wantedSince;  // and since when it is preferred and not linked.
    std::map<std::string, MonoTime> m_unreachable;  // Boxes passed over, and until when.
};

}  // namespace onyx
