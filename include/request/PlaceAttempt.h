// Puts what the gateway knows of a service's upstreams before the two rules of placement,
// ChooseUpstream and CacheDirectory, and hands out where an attempt goes.
#pragma once

#include "include/admission/Admission.h"
#include "include/placement/UpstreamExclusion.h"
#include "include/placement/VersionRule.h"
#include "include/state/EvacuationList.h"
#include "include/state/GatewaySettings.h"
#include "include/state/UpstreamList.h"
#include "include/state/UpstreamRecords.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace onyx {

// One request as far as the place of its next attempt depends on it.
struct PlacementQuestion {
    const ServiceId& service;
    const ServiceSpec* spec = nullptr;                    // Of the service, or null.
    const AllowedRegions* routeAllowedRegions = nullptr;  // Null: none.
    const AllowedRegions* teamAllowedRegions = nullptr;   // The same.
    std::span<const std::string> sharedParts;             // Of its prompt, in order.
    const std::set<std::string>& tried;  // Upstreams that had it, or did not take it.
    uint64_t draw = 0;                   // A random number of the request's own.
    VersionRule versions;                // Of the service's upstreams that may be chosen.
};

// An upstream that holds a prompt's shared parts, and how that is known.
struct FetchSource {
    Upstream upstream;
    CacheSourceReason reason = CacheSourceReason::kHolder;
};

// What this box took for the loads when it chose, in requests: what the log needs to tell a wrong
// choice from a right one on wrong numbers.
struct LoadsAtChoice {
    int load = 0;  // Of the chosen upstream.
    bool reported =
        false;  // The upstream told it, and this box counted on; else it is an estimate.
    std::optional<Millis> reportAge;  // Of what the upstream told last; nothing: it never did.
    double meanLoad = 0;              // Of those that it could have been.
    int bound = 0;                    // From this load on an upstream counted as full.
    size_t peersWithLoads = 0;        // Other boxes whose counts are part of it.
};

// Where an attempt goes, and why.
struct AttemptPlace {
    Upstream upstream;
    PlacementReason reason = PlacementReason::kPreferred;
    LoadsAtChoice loads;
    std::optional<FetchSource> source;  // Where the prompt's cached parts are fetched from.
    ExclusionTally leftOut;             // Upstreams that could not be chosen.
    bool holdsPrompt = false;           // The upstream is known to hold the prompt's shared parts.
};

// What placement may read.
struct PlacementKnowledge {
    const GatewaySettings& settings;
    const UpstreamList& upstreams;
    const UpstreamRecords& records;
    const EvacuationList& evacuations;
};

// The place of the next attempt among the upstreams that take work, or nothing if there is none.
// Preconditions: times do not fall. Thread safety: the state's task.
std::optional<AttemptPlace> PlaceAttempt(const PlacementKnowledge& knowledge,
                                         const PlacementQuestion& question, MonoTime now);

// Why all upstreams of the service are left out; nothing if one may be sent to, tried or not.
// Preconditions and thread safety as above.
std::optional<ExclusionTally> AllLeftOut(const PlacementKnowledge& knowledge,
                                         const PlacementQuestion& question, MonoTime now);

}  // namespace onyx
