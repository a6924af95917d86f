// Decides what the end of an attempt says of the health of its upstream. Input: how it ended, and
// whether the upstream's machine gave no sign of life. What follows from it: UpstreamHealth.
#pragma once

#include "include/health/UpstreamHealth.h"
#include "include/relay/RequestAttempts.h"

#include <optional>

namespace onyx {

// The sign that an attempt which ended with `end` gives, or nothing if it says nothing of the
// upstream's health. `unreachable`: the network to the upstream is cut, so other attempts there
// fare no better. Preconditions: none. Thread safety: any thread.
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
