// The one place where refusals and errors become HTTP answers: problem+json, the header
// Onyx-Outcome, and Retry-After wherever coming back makes sense. Sent at once, always.
#pragma once

#include "include/net/HttpServer.h"
#include "modules/standalone/include/base/Outcome.h"

#include <string>

namespace onyx {

// When to come back where nothing better is known.
inline constexpr Millis kComeBackSoon = 1000;

// An answer that is not what the caller wanted.
struct Problem {
    unsigned status = 500;
    std::string type;  // Stable name, such as "overloaded".
    std::string detail;
    RunOutcome outcome = RunOutcome::kNotRun;
    Millis retryAfter = 0;  // 0: none.
};

// The problem that a refusal stands for. Thread safety: any thread.
Problem ProblemOf(const Refusal& refusal);

// A problem with the request itself; `field` names what is wrong. Thread safety: any thread.
Problem BadRequest(unsigned status, const std::string& field, const std::string& detail);

// The problem as JSON. Thread safety: any thread.
std::string ProblemJson(const Problem& problem);

// Sends it. Preconditions: nothing was sent yet.
Task<> SendProblem(HttpExchange& exchange, const Problem& problem);

}  // namespace onyx
