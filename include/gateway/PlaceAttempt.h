// Puts what the gateway knows of a service's upstreams before the two rules of placement,
// ChooseUpstream and CacheDirectory, and hands out where an attempt goes.
#pragma once

#include "include/admission/Admission.h"
#include "include/gateway/GatewaySettings.h"
#include "include/gateway/UpstreamList.h"
#include "include/gateway/UpstreamRecords.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace onyx {

// One request as far as the place of its next attempt depends on it.
struct PlacementQuestion {
    const ServiceId& service;
    const ServiceSpec* spec = nullptr;         // Of the service, or null.
    std::span<const std::string> sharedParts;  // Of its prompt, in order.
    const std::set<std::string>& tried;        // Upstreams that had it, or did not take it.
    uint64_t draw = 0;                         // A random number of the request's own.
};

// An upstream that holds a prompt's shared parts, and how that is known.
struct FetchSource {
    Upstream upstream;
    CacheSourceReason reason = CacheSourceReason::kHolder;
};

// Where an attempt goes, and why.
struct AttemptPlace {
    Upstream upstream;
    PlacementReason reason = PlacementReason::kPreferred;
    std::optional<FetchSource> source;  // Where the prompt's cached parts are fetched from.
};

// The place of the next attempt among the upstreams that take work, or nothing if there is none.
// Preconditions: times do not fall. Thread safety: the state's task.
std::optional<AttemptPlace> PlaceAttempt(const GatewaySettings& settings,
                                         const UpstreamList& upstreams,
                                         const UpstreamRecords& records,
                                         const PlacementQuestion& question, MonoTime now);

}  // namespace onyx
