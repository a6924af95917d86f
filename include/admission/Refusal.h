// Defines how a box answers a request that it does not serve: the status, the text, and when the
// caller may retry. All such answers are made here.
//
// A refusal with a Retry-After guarantees that the request has not run. No request is queued until
// an upstream becomes available: one that cannot be served now is refused now.
#pragma once

#include "include/base/Time.h"
#include "include/health/RequestQuarantine.h"

#include <cstdint>
#include <optional>
#include <string>

namespace onyx {

// Why a box answers a request itself.
enum class RefusalReason : uint8_t {
    kBadHead,               // A header of the request cannot be parsed.
    kNoRequestId,           // It has no id, so its answers could not be distinguished.
    kDraining,              // This box is shutting down.
    kNoConfiguration,       // This box has just started and lacks configuration or upstreams.
    kConfigurationTooOld,   // See StalenessPolicy.
    kRouteUnknownYet,       // No such route, but the configuration is stale: the route may be new.
    kCredentialUnknownYet,  // No such credential, for the same reason.
    kNoRoute,               // The route does not exist.
    kUnknownCredential,     // The credential belongs to no team.
    kQuarantined,           // Upstreams crashed while running it, see RequestQuarantine.
    kPartQuarantined,       // The same while running requests with a part of its prompt.
    kStreamOriginUnknown,   // It takes up a stream, and no box knows which version began it.
    kNoMemory,              // The box has no memory for it; see RequestMemory.
    kNoRoom,                // Its service has more requests than it can finish in time.
    kNoUpstream,            // No upstream accepted the request, and none ran it.
    kTimedOut,              // The last attempt timed out; the request may have run.
    kUnclear,               // The last attempt ended in another way; the request may have run.
};

// An answer that this box gives itself.
struct Refusal {
    RefusalReason reason = RefusalReason::kNoUpstream;
    unsigned status = 503;                // HTTP status.
    std::string text;                     // For callers, logs and metrics.
    std::optional<Millis> retryAfter;     // In milliseconds; nullopt if a retry would not help, or
                                          // if the request may have run.
    std::optional<uint64_t> fingerprint;  // The one in quarantine for which it is refused.
};

// Times after which callers may retry, in milliseconds. They are chosen so that a retry finds the
// fault repaired or reaches another box, but does not wait for longer than most faults last.
//
// 0, because the load balancer already sends requests to the other boxes.
inline constexpr Millis kRetryAfterDrainingMs = 0;
// Other upstreams, or the same ones under less load, are available once the answers in progress are
// complete.
inline constexpr Millis kRetryAfterNoUpstreamMs = 200;
// A request that has stalled for this long gives its memory up.
inline constexpr Millis kRetryAfterNoMemoryMs = 1000;
// A box gets a configuration from the store or from a peer within about this time.
inline constexpr Millis kRetryAfterNoConfigurationMs = 500;
// A box that did not reply may reply to another box, or the records reach it in the meantime.
inline constexpr Millis kRetryAfterStreamUnknownMs = 200;
// Upper bound; the caller gets the remaining time of the quarantine.
inline constexpr Millis kRetryAfterQuarantinedMs = RequestQuarantine::kRetentionMs;

// Returns the refusal for `reason`. `detail`: the text of kBadHead, which names the header; the
// other reasons have fixed texts. Preconditions: none. Thread safety: any thread.
Refusal MakeRefusal(RefusalReason reason, std::string detail = {});

}  // namespace onyx
