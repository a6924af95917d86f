#include "include/placement/CacheDirectory.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// Returns the settled candidate that prompts with this last part prefer.
std::optional<size_t> PreferredSettledCandidate(std::string_view lastPart,
                                                std::span<const CacheCandidate> candidates) {
    return BestByRendezvous(
        HashText(lastPart), candidates.size(), [&](size_t i) { return candidates[i].id; },
        [&](size_t i) { return candidates[i].settled; });
}

}  // namespace

std::string_view CacheSourceReasonName(CacheSourceReason reason) {
    switch (reason) {
        case CacheSourceReason::kHolder:
            return "holder";
        case CacheSourceReason::kPreferred:
            return "preferred";
        case CacheSourceReason::kPrefix:
            return "prefix";
    }
    return "invalid";
}

bool CacheDirectory::record(const CacheHolding& holding, MonoTime now) {
    auto it = m_parts.find(holding.part);
    if (it == m_parts.end()) {
        m_lru.push_back(holding.part);
        it = m_parts.emplace(holding.part, Part{{}, std::prev(m_lru.end())}).first;
    } else {
        m_lru.splice(m_lru.end(), m_lru, it->second.lruPosition);
    }
    std::vector<Holder>& holders = it->second.holders;
    std::erase_if(holders, [&](const Holder& holder) { return now - holder.seen > m_maxAge; });
    const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder& holder) {
        return holder.upstream == holding.upstream;
    });
    const bool isNew = known == holders.end() || now - known->seen > m_maxAge / 2;
    if (known == holders.end()) {
        holders.push_back({holding.upstream, now});
    } else if (isNew) {
        known->seen = now;
    }
    while (m_parts.size() > m_capacity) {
        m_parts.erase(m_lru.front());
        m_lru.pop_front();
    }
    return isNew;
}

void CacheDirectory::recordAnswer(std::span<const std::string> parts, std::string_view upstream,
                                  MonoTime now) {
    const uint32_t holder = ShortHash(upstream);
    for (const std::string& name : parts) {
        const CacheHolding holding{ShortHash(name), holder};
        if (record(holding, now)) {
            m_pendingAnnouncements.push_back(holding);
        }
    }
    if (m_pendingAnnouncements.size() > kMaxPendingAnnouncements) {
        const auto surplus =
            static_cast<std::ptrdiff_t>(m_pendingAnnouncements.size() - kMaxPendingAnnouncements);
        m_pendingAnnouncements.erase(m_pendingAnnouncements.begin(),
                                     m_pendingAnnouncements.begin() + surplus);
    }
}

void CacheDirectory::recordAnnouncement(const CacheHolding& holding, MonoTime now) {
    record(holding, now);
}

void CacheDirectory::forgetHolder(uint32_t upstream) {
    for (auto& [name, part] : m_parts) {
        std::erase_if(part.holders,
                      [&](const Holder& holder) { return holder.upstream == upstream; });
    }
    std::erase_if(m_pendingAnnouncements,
                  [&](const CacheHolding& holding) { return holding.upstream == upstream; });
}

std::vector<CacheHolding> CacheDirectory::takeAnnouncements() {
    return std::exchange(m_pendingAnnouncements, {});
}

bool CacheDirectory::holds(uint32_t part, uint32_t upstream, MonoTime now) const {
    const auto it = m_parts.find(part);
    return it != m_parts.end() && std::any_of(it->second.holders.begin(), it->second.holders.end(),
                                              [&](const Holder& holder) {
                                                  return holder.upstream == upstream &&
                                                         now - holder.seen <= m_maxAge;
                                              });
}

std::vector<uint32_t> CacheDirectory::holders(std::string_view part, MonoTime now) const {
    std::vector<uint32_t> upstreams;
    const auto it = m_parts.find(ShortHash(part));
    if (it != m_parts.end()) {
        for (const Holder& holder : it->second.holders) {
            if (now - holder.seen <= m_maxAge) {
                upstreams.push_back(holder.upstream);
            }
        }
    }
    return upstreams;
}

std::optional<size_t> CacheDirectory::findHolder(uint32_t part, std::string_view chosen,
                                                 std::span<const CacheCandidate> candidates,
                                                 MonoTime now) const {
    if (!m_parts.contains(part)) {
        return std::nullopt;
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].reachable && candidates[i].id != chosen &&
            holds(part, ShortHash(candidates[i].id), now)) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<CacheSource> CacheDirectory::selectSource(std::span<const std::string> parts,
                                                        std::string_view chosen,
                                                        std::span<const CacheCandidate> candidates,
                                                        MonoTime now) const {
    const uint32_t chosenHash = ShortHash(chosen);
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const bool last = part == parts.rbegin();
        const uint32_t partHash = ShortHash(*part);
        if (holds(partHash, chosenHash, now)) {
            return std::nullopt;
        }
        if (const auto known = findHolder(partHash, chosen, candidates, now)) {
            return CacheSource{*known,
                               last ? CacheSourceReason::kHolder : CacheSourceReason::kPrefix};
        }
        if (!last) {
            continue;
        }
        const auto preferred = PreferredSettledCandidate(*part, candidates);
        if (preferred && candidates[*preferred].id != chosen && candidates[*preferred].reachable) {
            return CacheSource{*preferred, CacheSourceReason::kPreferred};
        }
    }
    return std::nullopt;
}

}  // namespace onyx
