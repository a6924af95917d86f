#include "include/freshness/WatchDelegation.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

// The watcher that a follower prefers: each follower has its own order, so that they spread.
std::string PreferredWatcher(std::span<const std::string> watchers, std::string_view self,
                             const std::function<bool(const std::string&)>& linked) {
    const auto best = BestByRendezvous(
        HashText(self), watchers.size(), [&](size_t i) { return std::string_view(watchers[i]); },
        [&](size_t i) { return linked(watchers[i]); });
    return best ? watchers[*best] : std::string();
}

}  // namespace

// The watchers of a zone; none if every box of it watches. The next in order stand in for boxes
// that cannot be reached.
std::vector<std::string> WatchDelegation::watchersOf(std::span<const std::string> zoneOrder) const {
    std::vector<std::string> watchers;
    const size_t boxes = zoneOrder.size();
    if (boxes < m_settings.minBoxes) {
        return watchers;
    }
    const size_t wanted = (boxes + m_settings.boxesPerWatcher - 1) / m_settings.boxesPerWatcher;
    for (const std::string& box : zoneOrder) {
        if (watchers.size() < wanted && !m_unreachable.contains(box)) {
            watchers.push_back(box);
        }
    }
    return watchers;
}

// A watcher that this box has no link to for long is taken to be gone, until it is tried again.
void WatchDelegation::noteLinks(std::span<const std::string> zoneOrder, std::string_view self,
                                const std::function<bool(const std::string&)>& linked,
                                MonoTime now) {
    std::erase_if(m_unreachable, [&](const auto& entry) { return entry.second <= now; });
    const std::string wanted = preferred(zoneOrder, self, now);
    if (wanted != m_wanted || wanted.empty() || linked(wanted)) {
        m_wanted = wanted;
        m_wantedSince = now;
    } else if (now - m_wantedSince >= m_settings.linkTime) {
        m_unreachable[wanted] = now + m_settings.alone;
        m_wanted.clear();
    }
}

const std::string& WatchDelegation::choose(std::span<const std::string> zoneOrder,
                                           std::string_view self,
                                           const std::function<bool(const std::string&)>& linked,
                                           MonoTime now) {
    noteLinks(zoneOrder, self, linked, now);
    const auto watchers = watchersOf(zoneOrder);
    m_isWatcher = std::find(watchers.begin(), watchers.end(), self) != watchers.end();
    std::string chosen;
    if (!m_isWatcher && now >= m_aloneUntil) {
        chosen = PreferredWatcher(watchers, self, linked);
    }
    if (chosen != m_watcher) {
        m_watcher = std::move(chosen);
        m_following = false;
    }
    return m_watcher;
}

std::string WatchDelegation::preferred(std::span<const std::string> zoneOrder,
                                       std::string_view self, MonoTime now) const {
    if (m_isWatcher || now < m_aloneUntil) {
        return {};
    }
    const auto any = [](const std::string&) { return true; };
    return PreferredWatcher(watchersOf(zoneOrder), self, any);
}

void WatchDelegation::replied(std::string_view from, const WatcherReply& reply, MonoTime now) {
    if (from != m_watcher || m_watcher.empty()) {
        return;
    }
    const bool fresh = reply.watches && reply.age && *reply.age <= m_settings.maxAge;
    if (m_following && !fresh) {
        watchAlone(now);
        return;
    }
    m_following = fresh;
}

void WatchDelegation::noteAge(std::optional<Millis> age, MonoTime now) {
    if (m_following && (!age || *age > m_settings.maxAge)) {
        watchAlone(now);
    }
}

void WatchDelegation::watchAlone(MonoTime now) {
    m_aloneUntil = now + m_settings.alone;
    m_watcher.clear();
    m_following = false;
}

}  // namespace onyx
