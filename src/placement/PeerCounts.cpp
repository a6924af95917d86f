#include "include/placement/PeerCounts.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

void PeerCounts::update(const std::string& box, Counts counts, MonoTime now, Millis validFor) {
    forget(box);
    for (const auto& [upstream, count] : counts) {
        m_sums[upstream] += count;
    }
    m_boxes[box] = {now + validFor, std::move(counts)};
}

void PeerCounts::forget(const std::string& box) {
    const auto it = m_boxes.find(box);
    if (it != m_boxes.end()) {
        subtract(it->second.counts);
        m_boxes.erase(it);
    }
}

void PeerCounts::forgetUpstream(uint32_t upstream) {
    m_sums.erase(upstream);
    for (auto& [box, digest] : m_boxes) {
        std::erase_if(digest.counts, [&](const auto& count) { return count.first == upstream; });
    }
}

void PeerCounts::expire(MonoTime now) {
    std::erase_if(m_boxes, [&](const auto& box) {
        const bool old = box.second.until < now;
        if (old) {
            subtract(box.second.counts);
        }
        return old;
    });
}

void PeerCounts::subtract(const Counts& counts) {
    for (const auto& [upstream, count] : counts) {
        const auto it = m_sums.find(upstream);
        if (it == m_sums.end()) {
            continue;  // The count is 0 and its sum is already removed.
        }
        it->second -= count;
        if (it->second == 0) {
            m_sums.erase(it);
        }
    }
}

double PeerCounts::countedShare() const {
    const auto counted = static_cast<double>(m_boxes.size() + 1);
    return std::min(1.0, counted / static_cast<double>(m_siteSize));
}

int PeerCounts::at(const std::string& upstream) const {
    const auto it = m_sums.find(ShortHash(upstream));
    return it == m_sums.end() ? 0 : it->second;
}

}  // namespace onyx
