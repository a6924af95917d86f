#include "include/admission/Refusal.h"

#include <utility>

namespace onyx {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace

Refusal MakeRefusal(RefusalReason reason, std::string detail) {
    switch (reason) {
        case RefusalReason::kBadHead:
            return {reason, kBadRequest, std::move(detail), std::nullopt};
        case RefusalReason::kNoRequestId:
            return {reason, kBadRequest, "the request has no id", std::nullopt};
        case RefusalReason::kDraining:
            return {reason, kUnavailable, "this box is leaving", kRetryAfterDraining};
        case RefusalReason::kNoConfiguration:
            return {reason, kUnavailable, "no configuration yet", kRetryAfterNoConfiguration};
        case RefusalReason::kConfigurationTooOld:
            return {reason, kUnavailable, "what is known of keys and routes is too old",
                    kRetryAfterNoConfiguration};
        case RefusalReason::kRouteUnknownYet:
            return {reason, kUnavailable, "no route in a stale configuration",
                    kRetryAfterNoConfiguration};
        case RefusalReason::kKeyUnknownYet:
            return {reason, kUnavailable, "unknown key in a stale configuration",
                    kRetryAfterNoConfiguration};
        case RefusalReason::kNoRoute:
            return {reason, kNotFound, "no route", std::nullopt};
        case RefusalReason::kUnknownKey:
            return {reason, kUnauthorized, "unknown key", std::nullopt};
        case RefusalReason::kNoUpstream:
            return {reason, kUnavailable, "no upstream took the request", kRetryAfterNoUpstream};
        case RefusalReason::kTimedOut:
            return {reason, kGatewayTimeout, "the request may have run", std::nullopt};
        case RefusalReason::kUnclear:
            return {reason, kBadGateway, "the request may have run", std::nullopt};
    }
    return {};
}

}  // namespace onyx
