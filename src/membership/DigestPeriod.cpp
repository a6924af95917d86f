#include "include/membership/DigestPeriod.h"

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds: longer than a box takes to read a large list or configuration.
constexpr Millis kMinSilence = 2500;
constexpr Millis kPeriodsMissed = 3;  // So many digests in a row may be late.

}  // namespace

Millis DigestPeriod(Millis wanted, size_t peers, size_t bytes, int64_t budget) {
    const auto perRound = static_cast<int64_t>(peers * bytes);
    return std::max<Millis>(wanted, perRound * 1000 / budget);
}

Millis SilenceBound(Millis digestPeriod) {
    return std::max(kMinSilence, kPeriodsMissed * digestPeriod);
}

}  // namespace onyx
