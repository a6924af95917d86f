#include "include/membership/DigestTargets.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kMinSilence = 2500;
constexpr Millis kPeriodsMissed = 3;  // So many digests in a row may be late.

}  // namespace

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

Millis DigestPeriod(Millis wanted, size_t peers, size_t bytes, int64_t budget) {
    const auto perRound = static_cast<int64_t>(peers * bytes);
    return std::max<Millis>(wanted, perRound * 1000 / budget);
}

Millis SilenceBound(Millis promised) {
    return std::max(kMinSilence, kPeriodsMissed * promised);
}

}  // namespace onyx
