#include "include/admission/Refusal.h"

#include "include/base/HttpStatus.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace onyx {

namespace {

// The answer to a request that is refused for `reason`.
struct RefusalRow {
    RefusalReason reason;
    unsigned status;
    std::string_view text;  // Empty: the detail is used.
    std::optional<Millis> retryAfter;
};

constexpr std::optional<Millis> kAfterConfigurationMs = kRetryAfterNoConfigurationMs;
constexpr std::optional<Millis> kNoRetry = std::nullopt;
// One row per reason.
constexpr std::array<RefusalRow, 17> kRefusalTable = {{
    {RefusalReason::kBadHead, HttpStatus::kBadRequest, "", kNoRetry},
    {RefusalReason::kNoRequestId, HttpStatus::kBadRequest, "the request has no id", kNoRetry},
    {RefusalReason::kDraining, HttpStatus::kUnavailable, "this box is leaving",
     kRetryAfterDrainingMs},
    {RefusalReason::kNoConfiguration, HttpStatus::kUnavailable, "no configuration yet",
     kAfterConfigurationMs},
    {RefusalReason::kConfigurationTooOld, HttpStatus::kUnavailable,
     "what is known of keys and routes is too old", kAfterConfigurationMs},
    {RefusalReason::kRouteUnknownYet, HttpStatus::kUnavailable, "no route in a stale configuration",
     kAfterConfigurationMs},
    {RefusalReason::kCredentialUnknownYet, HttpStatus::kUnavailable,
     "unknown key in a stale configuration", kAfterConfigurationMs},
    {RefusalReason::kNoRoute, HttpStatus::kNotFound, "no route", kNoRetry},
    {RefusalReason::kUnknownCredential, HttpStatus::kUnauthorized, "unknown key", kNoRetry},
    {RefusalReason::kQuarantined, HttpStatus::kUnavailable,
     "upstreams crashed while they ran this request", kRetryAfterQuarantinedMs},
    {RefusalReason::kPartQuarantined, HttpStatus::kUnavailable,
     "upstreams crashed while they ran requests with a part of this prompt",
     kRetryAfterQuarantinedMs},
    {RefusalReason::kStreamOriginUnknown, HttpStatus::kUnavailable,
     "the version that began the stream is not known", kRetryAfterStreamUnknownMs},
    {RefusalReason::kNoMemory, HttpStatus::kUnavailable, "no memory for this request now",
     kRetryAfterNoMemoryMs},
    {RefusalReason::kNoRoom, HttpStatus::kUnavailable, "no room for this request now",
     kRetryAfterNoUpstreamMs},
    {RefusalReason::kNoUpstream, HttpStatus::kUnavailable, "no upstream took the request",
     kRetryAfterNoUpstreamMs},
    {RefusalReason::kTimedOut, HttpStatus::kGatewayTimeout, "the request may have run", kNoRetry},
    {RefusalReason::kUnclear, HttpStatus::kBadGateway, "the request may have run", kNoRetry},
}};

}  // namespace

Refusal MakeRefusal(RefusalReason reason, std::string detail) {
    const auto row =
        std::find_if(kRefusalTable.begin(), kRefusalTable.end(),
                     [&](const RefusalRow& answer) { return answer.reason == reason; });
    const std::string text = row->text.empty() ? std::move(detail) : std::string(row->text);
    return {reason, row->status, text, row->retryAfter, std::nullopt};
}

}  // namespace onyx
