#include "include/lifecycle/Drain.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kBalancerDetectionMs = 2500;  // Two and a half probes, one per second.
constexpr Millis kAcceptDivisor = 3;           // Divisor of a short grace period.
// The part of the grace period that is reserved for the exit: 1/kExitTimeDivisor of it, but at
// least kMinExitTimeMs milliseconds.
constexpr Millis kMinExitTimeMs = 300;
constexpr Millis kExitTimeDivisor = 16;
// For ending the requests under way before the limit; a part of a short stop.
constexpr Millis kMaxEndTimeMs = 200;
constexpr Millis kEndTimeDivisor = 4;

}  // namespace

Millis DrainSettings::endFrom() const {
    return limit - std::clamp<Millis>((limit - accept) / kEndTimeDivisor, 0, kMaxEndTimeMs);
}

Millis DrainSettings::DefaultAccept(Millis grace) {
    return std::min(kBalancerDetectionMs, grace / kAcceptDivisor);
}

Millis DrainSettings::DefaultLimit(Millis grace) {
    return grace - std::max(kMinExitTimeMs, grace / kExitTimeDivisor);
}

LifecyclePhase Lifecycle::phase(MonoTime now) const {
    const std::optional<Millis> since = sinceSignal(now);
    if (!since) {
        return LifecyclePhase::kServing;
    }
    if (*since < m_settings.accept) {
        return LifecyclePhase::kDraining;
    }
    return *since < m_settings.endFrom() ? LifecyclePhase::kRefusing : LifecyclePhase::kEnding;
}

bool Lifecycle::canExit(MonoTime now, size_t connections) const {
    const std::optional<Millis> since = sinceSignal(now);
    if (!since || *since >= m_settings.limit) {
        return since.has_value();
    }
    return refusing(now) && m_activeRequests == 0 && connections == 0;
}

std::string_view LifecyclePhaseName(LifecyclePhase phase) {
    switch (phase) {
        case LifecyclePhase::kServing:
            return "serving";
        case LifecyclePhase::kDraining:
            return "draining";
        case LifecyclePhase::kRefusing:
            return "refusing";
        case LifecyclePhase::kEnding:
            return "ending";
    }
    return "invalid";
}

}  // namespace onyx
