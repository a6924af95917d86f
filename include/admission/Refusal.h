// Decides how a box answers a request that it does not serve: with which status, which words, and
// when its caller may retry. All such answers come from here.
//
// A refusal with a Retry-After promises that the request has not run. Nothing is held back in the
// hope of an upstream: what cannot be served now is refused now.
#pragma once

#include "include/base/Time.h"
#include "include/health/RequestQuarantine.h"

#include <cstdint>
#include <optional>
#include <string>

namespace onyx {

// Why a box answers a request by itself.
enum class RefusalReason : uint8_t {
    kBadHead,               // A header of the request cannot be read.
    kNoRequestId,           // It has no id, so its answers could not be told apart.
    kDraining,              // This box is about to end.
    kNoConfiguration,       // This box has just started and knows too little yet.
    kConfigurationTooOld,   // See StalenessPolicy.
    kRouteUnknownYet,       // No such route, but the configuration is stale: it may exist by now.
    kCredentialUnknownYet,  // The same for the credential.
    kNoRoute,               // The route does not exist.
    kUnknownCredential,     // The credential stands for no team.
    kQuarantined,           // Upstreams crashed while they ran it: see RequestQuarantine.
    kNoUpstream,            // No upstream took the request, and none ran it.
    kTimedOut,              // The last attempt ran out of time; the request may have run.
    kUnclear,               // The last attempt ended in another way; the request may have run.
};

// An answer of this box's own.
struct Refusal {
    RefusalReason reason = RefusalReason::kNoUpstream;
    unsigned status = 503;             // HTTP status.
    std::string text;                  // For callers, logs and metrics.
    std::optional<Millis> retryAfter;  // Milliseconds; nothing where a retry would not help, or
                                       // where the request may have run.
};

// Times after which callers may retry, in milliseconds. A caller that comes back to a fleet with a
// fault should find it mended, or another box, and not be kept waiting for longer than most faults
// last.
//
// The balancer already sends to the other boxes.
inline constexpr Millis kRetryAfterDrainingMs = 0;
// Other upstreams, or the same ones with less load, are there after a round of answers.
inline constexpr Millis kRetryAfterNoUpstreamMs = 200;
// A box learns a configuration from the store or from a peer within about this time.
inline constexpr Millis kRetryAfterNoConfigurationMs = 500;
// At most; a caller is told what is left of the quarantine.
inline constexpr Millis kRetryAfterQuarantinedMs = RequestQuarantine::kRetentionMs;

// The refusal for `reason`. `detail`: the words of kBadHead, which name the header; the others have
// their own. Preconditions: none. Thread safety: any thread.
Refusal MakeRefusal(RefusalReason reason, std::string detail = {});

}  // namespace onyx
