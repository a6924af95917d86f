// Maps the end of an attempt to a health signal for its upstream. UpstreamHealth decides what
// follows from the signal.
#pragma once

#include "include/health/UpstreamHealth.h"
#include "include/relay/RequestAttempts.h"

#include <optional>

namespace onyx {

// Returns the health signal of an attempt that ended with `end`, or nullopt if its end shows
// nothing about the upstream's health. `unreachable`: the upstream's machine showed no sign of
// life, so the network to it is cut and other attempts there would fail too.
// Preconditions: none. Thread safety: any thread.
constexpr std::optional<HealthSignal> AttemptHealthSignal(AttemptEnd end, bool unreachable) {
    switch (end) {
        case AttemptEnd::kAnswered:
            return HealthSignal::kAnswered;
        case AttemptEnd::kFailed:
            return HealthSignal::kFailed;
        case AttemptEnd::kNotSent:
            return HealthSignal::kUnreachable;
        case AttemptEnd::kUnclear:
        case AttemptEnd::kStreamBroken:
            return unreachable ? HealthSignal::kUnreachable : HealthSignal::kSilent;
        case AttemptEnd::kDeclined:
        case AttemptEnd::kMisdirected:
            return std::nullopt;
    }
    return std::nullopt;
}

}  // namespace onyx
