// Asks boxes directly what they have in force.
#pragma once

#include "include/net/Net.h"
#include "modules/standalone/include/config/Snapshot.h"
#include "modules/standalone/include/store/ObjectClient.h"

#include <optional>
#include <string>
#include <vector>

namespace onyx {

// What one box says of itself.
struct BoxAnswer {
    PlatformBox box;
    bool reachable = false;
    bool draining = false;
    uint64_t revision = 0;
    uint64_t rosterEpoch = 0;
    std::string detail;  // Why it cannot be reached.
};

// Asks all of `boxes` that have an address, at the same time. Preconditions: called in a
// coroutine. Thread safety: that coroutine's executor.
Task<std::vector<BoxAnswer>> QueryBoxes(std::vector<PlatformBox> boxes);

// Reads the configuration in force on one box. Errors: kUnavailable, kTimeout, kProtocol.
// Preconditions and thread safety as above.
Task<Result<std::vector<ConfigShard>>> ReadConfigOf(Endpoint box);

}  // namespace onyx
