// Decides whether an answer of an upstream counts as bad when two versions are compared: it failed,
// or it came several times later than such answers usually come.
//
// Inputs: how the attempt ended; its time to the first byte in milliseconds; the usual time of the
// route, learned by LatencyReference from the upstreams of the version that is in service.
#pragma once

#include "include/base/Time.h"
#include "include/relay/RequestAttempts.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// The usual time to the first byte by route: a running estimate of the median, in milliseconds.
// Not thread safe: one task owns it.
class LatencyReference {
public:
    // Records an answer of the version in service. Preconditions: latency >= 0.
    void record(const std::string& route, Millis latency);

    // Returns the usual time of `route`, or nothing before its first answer. Preconditions: none.
    std::optional<double> usual(const std::string& route) const;

private:
    std::unordered_map<std::string, double> m_usual;  // By route, in milliseconds.
};

// Returns whether an attempt that ended with `end` got a bad answer; nothing if its end says
// nothing about the version. `latency`: time to the first byte in milliseconds, empty if it is not
// comparable because the upstream was cold or did not hold the prompt. `usual`: of the route.
// Preconditions: none. Thread safety: any thread.
std::optional<bool> IsBadAnswer(AttemptEnd end, std::optional<Millis> latency,
                                std::optional<double> usual);

}  // namespace onyx
