// Stand-in for a plain service. Counts each execution by idempotency key, on the service's side:
// what the proofs of "at most once" and "not run" are checked against. POST /control sets faults.
#pragma once

#include "include/net/HttpServer.h"

#include <map>
#include <string>

namespace onyx {

// What it may be told to do wrong.
struct FakeServiceFaults {
    Millis delay = 0;     // Between execution and answer.
    int loseAnswers = 0;  // So many requests are executed and get no answer.
    int failCount = 0;    // So many requests get status 500 without execution.
};

// Not thread safe: one io_context.
class FakeService {
public:
    // Serves one request. Preconditions: called in a coroutine.
    Task<> handle(HttpExchange& exchange);

private:
    Task<> handleControl(HttpExchange& exchange);

    FakeServiceFaults m_faults;
    std::map<std::string, int> m_executions;
    uint64_t m_total = 0;
};

}  // namespace onyx
