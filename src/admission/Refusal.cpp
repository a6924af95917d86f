#include "include/admission/Refusal.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace onyx {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

// How a request is answered that is refused for a reason.
struct Answer {
    RefusalReason reason;
    unsigned status;
    std::string_view text;  // Empty: the detail.
    std::optional<Millis> retryAfter;
};

constexpr auto kLater = kRetryAfterNoConfiguration;
constexpr std::optional<Millis> kNoRetry = std::nullopt;
// One row for each reason.
constexpr std::array<Answer, 12> kAnswers = {{
    {RefusalReason::kBadHead, kBadRequest, "", kNoRetry},
    {RefusalReason::kNoRequestId, kBadRequest, "the request has no id", kNoRetry},
    {RefusalReason::kDraining, kUnavailable, "this box is leaving", kRetryAfterDraining},
    {RefusalReason::kNoConfiguration, kUnavailable, "no configuration yet", kLater},
    {RefusalReason::kConfigurationTooOld, kUnavailable,
     "what is known of keys and routes is too old", kLater},
    {RefusalReason::kRouteUnknownYet, kUnavailable, "no route in a stale configuration", kLater},
    {RefusalReason::kCredentialUnknownYet, kUnavailable, "unknown key in a stale configuration",
     kLater},
    {RefusalReason::kNoRoute, kNotFound, "no route", kNoRetry},
    {RefusalReason::kUnknownCredential, kUnauthorized, "unknown key", kNoRetry},
    {RefusalReason::kNoUpstream, kUnavailable, "no upstream took the request",
     kRetryAfterNoUpstream},
    {RefusalReason::kTimedOut, kGatewayTimeout, "the request may have run", kNoRetry},
    {RefusalReason::kUnclear, kBadGateway, "the request may have run", kNoRetry},
}};

}  // namespace

Refusal MakeRefusal(RefusalReason reason, std::string detail) {
    const auto row = std::find_if(kAnswers.begin(), kAnswers.end(),
                                  [&](const Answer& answer) { return answer.reason == reason; });
    const std::string text = row->text.empty() ? std::move(detail) : std::string(row->text);
    return {reason, row->status, text, row->retryAfter};
}

}  // namespace onyx
