#include "modules/standalone/include/router/Problem.h"

#include <nlohmann/json.hpp>

namespace onyx {

namespace {

struct ReasonEntry {
    RefusalReason reason;
    unsigned status;
    const char* type;
};

constexpr ReasonEntry kReasons[] = {
    {RefusalReason::kOverloaded, 503, "overloaded"},
    {RefusalReason::kDeadline, 504, "deadline"},
    {RefusalReason::kTeamLimit, 429, "team-limit"},
    {RefusalReason::kNoUpstream, 503, "no-upstream"},
    {RefusalReason::kUpstreamFailed, 502, "upstream-failed"},
    {RefusalReason::kOwnerAway, 503, "owner-away"},
    {RefusalReason::kKeyTooOld, 409, "key-too-old"},
    {RefusalReason::kKeyInFuture, 400, "key-in-future"},
    {RefusalReason::kKeyReused, 422, "key-reused"},
    {RefusalReason::kAlreadyRan, 409, "already-ran"},
    {RefusalReason::kMisdirected, 421, "misdirected"},
    {RefusalReason::kDraining, 503, "draining"},
};

constexpr Millis kSecond = 1000;

}  // namespace

Problem ProblemOf(const Refusal& refusal) {
    Problem problem;
    problem.detail = refusal.detail;
    problem.outcome = refusal.outcome;
    problem.retryAfter = refusal.retryAfter;
    for (const ReasonEntry& entry : kReasons) {
        if (entry.reason == refusal.reason) {
            problem.status = entry.status;
            problem.type = entry.type;
        }
    }
    return problem;
}

Problem BadRequest(unsigned status, const std::string& field, const std::string& detail) {
    Problem problem;
    problem.status = status;
    problem.type = "bad-request";
    problem.detail = field + ": " + detail;
    return problem;
}

std::string ProblemJson(const Problem& problem) {
    const nlohmann::json body = {{"type", problem.type},
                                 {"status", problem.status},
                                 {"detail", problem.detail},
                                 {"outcome", RunOutcomeName(problem.outcome)},
                                 {"retry_after_ms", problem.retryAfter}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Task<> SendProblem(HttpExchange& exchange, const Problem& problem) {
    HttpHeaders headers = {{"Onyx-Outcome", std::string(RunOutcomeName(problem.outcome))}};
    if (problem.retryAfter > 0) {
        const Millis seconds = (problem.retryAfter + kSecond - 1) / kSecond;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    co_await exchange.respond(problem.status, headers, "application/problem+json",
                              ProblemJson(problem));
}

}  // namespace onyx
