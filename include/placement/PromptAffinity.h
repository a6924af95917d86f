// Which upstream gets a request: prompts return to the upstream that holds their shared part, and
// no upstream is given more than a multiple of the mean.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace onyx {

// One upstream that a request may go to, and what is known of its load.
struct PlacementCandidate {
    std::string_view id;
    bool sameZone = false;
    bool ejected = false;  // See UpstreamHealth.
    int ownInFlight = 0;   // This box's requests there.
    int totalLoad = 0;     // All boxes' requests there, as far as this box can tell.
    int slots = 1;
};

// Prompts with the same shared part prefer the same upstream, over all zones; on overflow the
// next in the same order takes them.
struct AffinityPolicy {
    // An upstream is given no more than multiple x the mean load + margin. The operators allow
    // twice the mean + 3; the rest is for loads that are a digest (0.1 s) old.
    double multiple = 1.8;
    double margin = 2.5;
    // The loads come from a sample of the boxes and are old by the time that many requests take. A
    // sharp bound would then be passed by all boxes at once, so each request draws its own, between
    // a little over the mean and the full one.
    bool drawsBound = false;
};
// The own zone's upstreams first, the least loaded of them.
struct ZoneFirstPolicy {};
// The least in flight from this box. A baseline.
struct LeastInFlightPolicy {};
// Any. A baseline.
struct RandomPolicy {};
using PlacementPolicy =
    std::variant<AffinityPolicy, ZoneFirstPolicy, LeastInFlightPolicy, RandomPolicy>;

// Index of the chosen one among `candidates`, or -1 if there is none. Those ejected are passed
// over unless nothing else is there. `key`: hash of the prompt's shared part; requests without one
// give `point`, which is any number of the request's own, such as a random one.
// Preconditions: none. Thread safety: any thread.
int ChooseUpstream(const PlacementPolicy& policy, std::span<const PlacementCandidate> candidates,
                   uint64_t key, uint64_t point);

// Why a candidate was chosen, for the log.
enum class PlacementReason : uint8_t {
    kPreferred,         // The prompt's first choice.
    kOverflow,          // The first choice has reached the bound on its load.
    kPreferredEjected,  // The first choice is ejected.
    kSameZone,          // Zone-first: an upstream of the own zone.
    kOtherZone,         // Zone-first: none of the own zone had room.
    kLoad,              // A baseline policy.
};

// The reason as it stands in the log. Thread safety: any thread.
std::string_view PlacementReasonName(PlacementReason reason);

// Says why ChooseUpstream, called with the same arguments, returned `chosen`.
// Preconditions: `chosen` is an index of `candidates`. Thread safety: any thread.
PlacementReason ExplainPlacement(const PlacementPolicy& policy,
                                 std::span<const PlacementCandidate> candidates, uint64_t key,
                                 int chosen);

}  // namespace onyx
