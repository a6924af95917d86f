// The one vocabulary for what became of a request, on every hop and towards the caller.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace onyx {

// What can be said of a request that was not answered in full.
enum class RunOutcome : uint8_t {
    kNotRun,   // It never ran and never will.
    kRan,      // It ran; the answer is here or was given before.
    kUnknown,  // Neither can be said here and now: come back with the same key.
};

// The outcome as it stands in the header Onyx-Outcome. Thread safety: any thread.
constexpr std::string_view RunOutcomeName(RunOutcome outcome) {
    switch (outcome) {
        case RunOutcome::kNotRun:
            return "not-run";
        case RunOutcome::kRan:
            return "ran";
        case RunOutcome::kUnknown:
            return "unknown";
    }
    return "unknown";
}

// Why a request was refused. Decides the HTTP status and the problem type.
enum class RefusalReason : uint8_t {
    kOverloaded,      // No engine has room and the queue will not hold it. 503.
    kDeadline,        // The deadline cannot be met. 504.
    kTeamLimit,       // The team's own limit. 429.
    kNoUpstream,      // No engine of the service can be reached. 503.
    kUpstreamFailed,  // An upstream was tried and failed. 502.
    kOwnerAway,       // The key's owner cannot be reached or may not run it now. 503.
    kKeyTooOld,       // The key was minted before what the ledger knows. 409.
    kKeyInFuture,     // The key's time is ahead of this box by more than the skew limit. 400.
    kKeyReused,       // Same key with another body. 422.
    kAlreadyRan,      // The key ran, and its answer is no longer kept. 409.
    kMisdirected,     // The other site's share of the migration. 421.
    kDraining,        // This box is leaving. 503.
};

// A refusal in full: what is known, why, and when to come back (0: coming back is no use).
struct Refusal {
    RefusalReason reason = RefusalReason::kOverloaded;
    RunOutcome outcome = RunOutcome::kUnknown;
    Millis retryAfter = 0;
    std::string detail;
};

}  // namespace onyx
