#include "include/membership/DigestTargets.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

std::vector<size_t> DigestTargets(const MemberId& self, std::span<const MemberId> others,
                                  size_t most) {
    const uint64_t key = HashText(self.value);
    std::vector<std::pair<uint64_t, size_t>> scored;
    for (size_t i = 0; i < others.size(); ++i) {
        scored.emplace_back(RendezvousScore(key, others[i].value), i);
    }
    const size_t kept = std::min(most, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(kept), scored.end(),
                      std::greater<>());
    std::vector<size_t> targets;
    for (size_t i = 0; i < kept; ++i) {
        targets.push_back(scored[i].second);
    }
    return targets;
}

}  // namespace onyx
