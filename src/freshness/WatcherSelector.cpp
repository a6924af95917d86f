#include "include/freshness/WatcherSelector.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

// The linked watcher that a follower prefers. Each follower has its own order of the watchers, so
// that the followers are spread over them.
std::string PreferredWatcher(std::span<const std::string> watchers, std::string_view self,
                             const std::function<bool(const std::string&)>& linked) {
    const auto best = BestByRendezvous(
        HashText(self), watchers.size(), [&](size_t i) { return std::string_view(watchers[i]); },
        [&](size_t i) { return linked(watchers[i]); });
    return best ? watchers[*best] : std::string();
}

}  // namespace

// The watchers of a zone; none if every box of it watches. Boxes that are passed over are replaced
// by the next ones in order.
std::vector<std::string> WatcherSelector::watchersOf(std::span<const std::string> zoneOrder) const {
    std::vector<std::string> watchers;
    const size_t boxes = zoneOrder.size();
    if (boxes < m_settings.minBoxes) {
        return watchers;
    }
    const size_t wanted = (boxes + m_settings.boxesPerWatcher - 1) / m_settings.boxesPerWatcher;
    for (const std::string& box : zoneOrder) {
        if (watchers.size() < wanted && !m_passedOver.contains(box)) {
            watchers.push_back(box);
        }
    }
    return watchers;
}

// A watcher to which this box has had no link for linkTimeout is passed over for passOverTime, then
// tried again.
void WatcherSelector::updateLinks(std::span<const std::string> zoneOrder, std::string_view self,
                                  const std::function<bool(const std::string&)>& linked,
                                  MonoTime now) {
    std::erase_if(m_passedOver, [&](const auto& entry) { return entry.second <= now; });
    const std::string wanted = preferred(zoneOrder, self);
    if (wanted != m_preferred || wanted.empty() || linked(wanted)) {
        m_preferred = wanted;
        m_unlinkedSince = now;
    } else if (now - m_unlinkedSince >= m_settings.linkTimeout) {
        m_passedOver[wanted] = now + m_settings.passOverTime;
        m_preferred.clear();
    }
}

void WatcherSelector::updateRole(std::span<const std::string> zoneOrder, std::string_view self) {
    const auto watchers = watchersOf(zoneOrder);
    m_isWatcher = std::find(watchers.begin(), watchers.end(), self) != watchers.end();
    m_rank = 0;
    for (const std::string& box : zoneOrder) {
        if (box == self) {
            return;
        }
        const bool watches = std::find(watchers.begin(), watchers.end(), box) != watchers.end();
        m_rank += watches || m_passedOver.contains(box) ? 0 : 1;
    }
}

const std::string& WatcherSelector::choose(std::span<const std::string> zoneOrder,
                                           std::string_view self,
                                           const std::function<bool(const std::string&)>& linked,
                                           MonoTime now) {
    updateLinks(zoneOrder, self, linked, now);
    updateRole(zoneOrder, self);
    std::string chosen;
    if (!m_isWatcher) {
        chosen = PreferredWatcher(watchersOf(zoneOrder), self, linked);
    }
    if (chosen != m_watcher) {
        m_watcher = std::move(chosen);
        m_staleSince.reset();
    }
    return m_watcher;
}

std::string WatcherSelector::preferred(std::span<const std::string> zoneOrder,
                                       std::string_view self) const {
    if (m_isWatcher) {
        return {};
    }
    const auto any = [](const std::string&) { return true; };
    return PreferredWatcher(watchersOf(zoneOrder), self, any);
}

// If this box has no fresh state either, no box has: the store is failing, and the next box in
// order would be no better than the watcher.
void WatcherSelector::noteReply(std::string_view from, std::optional<Millis> theirs,
                                std::optional<Millis> own, MonoTime now) {
    if (from != m_watcher || m_watcher.empty()) {
        return;
    }
    if (isFresh(theirs) || !isFresh(own)) {
        m_staleSince.reset();
    } else if (!m_staleSince) {
        m_staleSince = now;
    } else if (now - *m_staleSince >= m_settings.linkTimeout) {
        m_passedOver[m_watcher] = now + m_settings.passOverTime;
        m_staleSince.reset();
    }
}

}  // namespace onyx
