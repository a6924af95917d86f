#include "include/membership/BoxNews.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

// A box whose zone becomes known is news again. Two boxes of one number, one pair in 10^5 sites of
// 300, cost a box that is told later, by another link.
bool BoxNews::Insert(Numbers& numbers, const KnownBox& box) {
    const uint32_t number = ShortHash(box.address + " " + box.zone);
    const auto at = std::lower_bound(numbers.begin(), numbers.end(), number);
    if (at != numbers.end() && *at == number) {
        return false;
    }
    numbers.insert(at, number);
    return true;
}

void BoxNews::linked(const KnownBox& peer) {
    Numbers& numbers = m_known[peer.address];
    numbers.clear();
    Insert(numbers, peer);
}

void BoxNews::told(const std::string& peer, const KnownBox& box) {
    const auto it = m_known.find(peer);
    if (it != m_known.end()) {
        Insert(it->second, box);
    }
}

std::vector<KnownBox> BoxNews::unknownTo(const std::string& peer, std::span<const KnownBox> boxes) {
    std::vector<KnownBox> unknown;
    const auto it = m_known.find(peer);
    if (it == m_known.end()) {
        return unknown;
    }
    for (const KnownBox& box : boxes) {
        if (Insert(it->second, box)) {
            unknown.push_back(box);
        }
    }
    return unknown;
}

}  // namespace onyx
