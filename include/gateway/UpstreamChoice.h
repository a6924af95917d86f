// Puts what the gateway knows of a service's upstreams before the two rules of placement:
// ChooseUpstream and CacheDirectory.
#pragma once

#include "include/admission/Admission.h"
#include "include/gateway/GatewayState.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace onyx {

// One request as far as the choice depends on it.
struct UpstreamQuestion {
    std::span<const std::string> sharedParts;  // Of its prompt, in order.
    const std::set<std::string>& tried;        // Upstreams that had it, or did not take it.
    uint64_t draw = 0;                         // A random number of the request's own.
};

// An upstream that holds a prompt's shared parts, and how that is known.
struct FetchSource {
    Upstream upstream;
    CacheSourceReason reason = CacheSourceReason::kHolder;
};

// Where an attempt goes.
struct UpstreamChoice {
    Upstream upstream;
    PlacementReason reason = PlacementReason::kPreferred;
    std::optional<FetchSource> source;  // Where the prompt's cached parts are fetched from.
};

// Chooses among the upstreams that take work, or nothing if there is none.
// Preconditions: none. Thread safety: the state's task.
std::optional<UpstreamChoice> ChooseNextUpstream(const GatewayState& state,
                                                 const Admission& admission,
                                                 const UpstreamQuestion& question, MonoTime now);

}  // namespace onyx
