// What has become of a request so far, for the steps that follow (see RequestHandler).
#pragma once

#include "include/request/AnswerRelay.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one io_context, one task.
struct RequestProgress {
    std::optional<AnswerRelay> answer;  // Once the head is read.
    bool sent = false;                  // Any attempt went out.
    bool timedOut = false;              // The last attempt ended for lack of time.
    int unreached = 0;                  // Attempts in a row that could not connect.
    std::string upstream;               // Of the last attempt; a box where it was relayed.
    std::string version;                // Of the upstream of the attempt under way; empty: unknown.
    // The connections to upstreams that carried the request, by number.
    std::vector<uint64_t> usedConnections;
    MonoTime attemptStart;      // Of the last attempt.
    bool isAtUpstream = false;  // An attempt of this box is under way.
};

}  // namespace onyx
