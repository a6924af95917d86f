#include "include/lifecycle/Drain.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kBalancerDetectionMs = 2500;  // Two questions, one a second, and a half.
constexpr Millis kAcceptDivisor = 3;           // Of a short grace.
// What is kept of the grace for the end itself.
constexpr Millis kMinExitTimeMs = 300;
constexpr Millis kExitTimeDivisor = 16;

}  // namespace

Millis DrainSettings::DefaultAccept(Millis grace) {
    return std::min(kBalancerDetectionMs, grace / kAcceptDivisor);
}

Millis DrainSettings::DefaultLimit(Millis grace) {
    return grace - std::max(kMinExitTimeMs, grace / kExitTimeDivisor);
}

}  // namespace onyx
