// Which upstream of a service a request goes to next, and from which one that can fetch the prompt,
// by what the gateway knows of all of them.
#pragma once

#include "include/gateway/RouteDecision.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace onyx {

// One request as far as the choice depends on it.
struct UpstreamQuestion {
    std::span<const std::string> sharedParts;  // Of its prompt, in order.
    const std::set<std::string>& tried;        // Upstreams that had it, or did not take it.
    uint64_t point = 0;                        // Any number of the request's own.
};

// Where a request goes.
struct UpstreamChoice {
    Upstream upstream;
    std::optional<Upstream> cacheSource;  // Holds the prompt's shared parts, which are fetched.
    PlacementReason reason = PlacementReason::kLoad;
};

// Chooses among the upstreams that take work, or nothing if there is none. One that was tried is
// chosen again only if there is no other. Preconditions: none. Thread safety: the state's task.
std::optional<UpstreamChoice> ChooseNextUpstream(const GatewayState& state,
                                                 const RouteDecision& decision,
                                                 const UpstreamQuestion& question, MonoTime now);

}  // namespace onyx
