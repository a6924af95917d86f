#include "include/lifecycle/Drain.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kBalancerLetsGo = 2500;  // Two questions, one a second, and a half.
constexpr Millis kAcceptPart = 3;         // Of a short grace.
// What is kept of the grace for the end itself.
constexpr Millis kMinEndTime = 300;
constexpr Millis kEndPart = 16;

}  // namespace

Millis DrainSettings::DefaultAccept(Millis grace) {
    return std::min(kBalancerLetsGo, grace / kAcceptPart);
}

Millis DrainSettings::DefaultLimit(Millis grace) {
    return grace - std::max(kMinEndTime, grace / kEndPart);
}

}  // namespace onyx
