#include "include/freshness/WatchDelegation.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

// The watcher that a follower prefers: each follower has its own order, so that they spread.
std::string PreferredWatcher(std::span<const std::string> watchers, std::string_view self,
                             const std::function<bool(const std::string&)>& linked) {
    const uint64_t follower = HashText(self);
    std::string best;
    uint64_t bestScore = 0;
    for (const std::string& watcher : watchers) {
        const uint64_t score = RendezvousScore(follower, watcher);
        if (linked(watcher) && (best.empty() || score > bestScore)) {
            best = watcher;
            bestScore = score;
        }
    }
    return best;
}

}  // namespace

// The watchers of the zone, or none if this box is to watch by itself.
std::span<const std::string> WatchDelegation::watchersFor(std::span<const std::string> zoneOrder,
                                                          std::string_view self,
                                                          MonoTime now) const {
    const size_t boxes = zoneOrder.size();
    if (boxes < m_settings.leastBoxes || now < m_aloneUntil) {
        return {};
    }
    const size_t wanted = (boxes + m_settings.boxesPerWatcher - 1) / m_settings.boxesPerWatcher;
    const auto watchers = zoneOrder.first(std::min(boxes, wanted));
    const bool isWatcher = std::find(watchers.begin(), watchers.end(), self) != watchers.end();
    return isWatcher ? std::span<const std::string>() : watchers;
}

const std::string& WatchDelegation::choose(std::span<const std::string> zoneOrder,
                                           std::string_view self,
                                           const std::function<bool(const std::string&)>& linked,
                                           MonoTime now) {
    std::string chosen = PreferredWatcher(watchersFor(zoneOrder, self, now), self, linked);
    if (chosen != m_watcher) {
        m_watcher = std::move(chosen);
        m_following = false;
    }
    return m_watcher;
}

std::string WatchDelegation::preferred(std::span<const std::string> zoneOrder,
                                       std::string_view self, MonoTime now) const {
    const auto any = [](const std::string&) { return true; };
    return PreferredWatcher(watchersFor(zoneOrder, self, now), self, any);
}

void WatchDelegation::replied(std::string_view from, const WatcherReply& reply, MonoTime now) {
    if (from != m_watcher || m_watcher.empty()) {
        return;
    }
    const bool fresh = reply.watches && reply.age && *reply.age <= m_settings.mostAge;
    if (fresh) {
        m_following = true;
    } else {
        watchAlone(now);
    }
}

void WatchDelegation::noteAge(std::optional<Millis> age, MonoTime now) {
    if (m_following && (!age || *age > m_settings.mostAge)) {
        watchAlone(now);
    }
}

void WatchDelegation::watchAlone(MonoTime now) {
    m_aloneUntil = now + m_settings.alone;
    m_watcher.clear();
    m_following = false;
}

}  // namespace onyx
