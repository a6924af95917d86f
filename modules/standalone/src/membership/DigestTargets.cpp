#include "modules/standalone/include/membership/DigestTargets.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

std::vector<size_t> DigestTargets(const MemberId& self, std::span<const MemberId> others,
                                  size_t most) {
    // The boxes on a ring in the order of their hashes; the next ones get the digests. So each box
    // also hears from as many: by rendezvous some heard from half of them, and their mean was off.
    const uint64_t start = HashText(self.value);
    std::vector<std::pair<uint64_t, size_t>> distances;
    for (size_t i = 0; i < others.size(); ++i) {
        distances.emplace_back(HashText(others[i].value) - start, i);
    }
    const size_t kept = std::min(most, distances.size());
    std::partial_sort(distances.begin(), distances.begin() + static_cast<ptrdiff_t>(kept),
                      distances.end());
    std::vector<size_t> targets;
    for (size_t i = 0; i < kept; ++i) {
        targets.push_back(distances[i].second);
    }
    return targets;
}

}  // namespace onyx
