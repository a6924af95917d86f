#include "include/placement/CacheDirectory.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// The settled candidate that a prompt with this last part prefers, or -1.
int SettledPreference(std::string_view lastPart, std::span<const CacheCandidate> candidates) {
    const uint64_t key = HashText(lastPart);
    int preferred = -1;
    uint64_t bestScore = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const uint64_t score = RendezvousScore(key, candidates[i].id);
        if (candidates[i].settled && (preferred < 0 || score > bestScore)) {
            preferred = static_cast<int>(i);
            bestScore = score;
        }
    }
    return preferred;
}

}  // namespace

bool CacheDirectory::record(const CacheNote& note, MonoTime now) {
    auto it = m_parts.find(note.part);
    if (it == m_parts.end()) {
        m_order.push_back(note.part);
        it = m_parts.emplace(note.part, Part{{}, std::prev(m_order.end())}).first;
    } else {
        m_order.splice(m_order.end(), m_order, it->second.position);
    }
    std::vector<Holder>& holders = it->second.holders;
    std::erase_if(holders, [&](const Holder& holder) { return now - holder.seen > m_maxAge; });
    const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) {
        return holder.upstream == note.upstream;
    });
    const bool isNews = known == holders.end() || now - known->seen > m_maxAge / 2;
    if (known == holders.end()) {
        holders.push_back({note.upstream, now});
    } else if (isNews) {
        known->seen = now;
    }
    while (m_parts.size() > m_capacity) {
        m_parts.erase(m_order.front());
        m_order.pop_front();
    }
    return isNews;
}

void CacheDirectory::note(std::span<const std::string> parts, std::string_view upstream,
                          MonoTime now) {
    const uint32_t holder = ShortHash(upstream);
    for (const std::string& name : parts) {
        const CacheNote note{ShortHash(name), holder};
        if (record(note, now)) {
            m_news.push_back(note);
        }
    }
    if (m_news.size() > kMaxNews) {
        const auto surplus = static_cast<std::ptrdiff_t>(m_news.size() - kMaxNews);
        m_news.erase(m_news.begin(), m_news.begin() + surplus);
    }
}

void CacheDirectory::learn(const CacheNote& note, MonoTime now) {
    record(note, now);
}

std::vector<CacheNote> CacheDirectory::takeNews() {
    return std::exchange(m_news, {});
}

bool CacheDirectory::holds(uint32_t part, uint32_t upstream, MonoTime now) const {
    const auto it = m_parts.find(part);
    return it != m_parts.end() && std::any_of(it->second.holders.begin(), it->second.holders.end(),
                                              [&](const Holder& holder) {
                                                  return holder.upstream == upstream &&
                                                         now - holder.seen <= m_maxAge;
                                              });
}

int CacheDirectory::knownHolder(uint32_t part, std::string_view chosen,
                                std::span<const CacheCandidate> candidates, MonoTime now) const {
    if (!m_parts.contains(part)) {
        return -1;
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].reachable && candidates[i].id != chosen &&
            holds(part, ShortHash(candidates[i].id), now)) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

int CacheDirectory::source(std::span<const std::string> parts, std::string_view chosen,
                           std::span<const CacheCandidate> candidates, MonoTime now) const {
    if (parts.empty()) {
        return -1;
    }
    const uint32_t chosenNumber = ShortHash(chosen);
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const uint32_t number = ShortHash(*part);
        if (holds(number, chosenNumber, now)) {
            return -1;
        }
        const int known = knownHolder(number, chosen, candidates, now);
        if (known >= 0) {
            return known;
        }
        if (part != parts.rbegin()) {
            continue;
        }
        const int preferred = SettledPreference(*part, candidates);
        if (preferred >= 0 && candidates[preferred].id != chosen &&
            candidates[preferred].reachable) {
            return preferred;
        }
    }
    return -1;
}

}  // namespace onyx
