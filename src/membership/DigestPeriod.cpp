#include "include/membership/DigestPeriod.h"

#include <algorithm>

namespace onyx {

namespace {

// Longer than a box takes to read a large list or configuration.
constexpr Millis kMinSilenceTimeoutMs = 2500;
constexpr Millis kMaxMissedDigests = 3;  // Consecutive digests that may be late.

}  // namespace

Millis DigestPeriod(Millis minPeriod, size_t peers, size_t digestBytes, int64_t bytesPerSecond) {
    const auto perRound = static_cast<int64_t>(peers * digestBytes);
    return std::max<Millis>(minPeriod, perRound * 1000 / bytesPerSecond);
}

Millis SilenceTimeout(Millis digestPeriod) {
    return std::max(kMinSilenceTimeoutMs, kMaxMissedDigests * digestPeriod);
}

}  // namespace onyx
