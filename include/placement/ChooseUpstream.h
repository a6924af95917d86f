// Decides which upstream of a service an attempt goes to.
//
// Inputs: the service's upstreams that are not draining, each with its zone, its load (requests in
// flight of all boxes, as far as this box can tell), its slots, whether it is ejected and whether
// this request was there before; a hash of the prompt; a random number of the request's own.
//
// The order of preference, whatever the policy: upstreams that this request has not tried, of these
// the ones that are not ejected. Where that leaves none, the condition is dropped, so that a
// request is refused only where there is no upstream at all.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace onyx {

// One upstream that an attempt may go to, and what is known of it.
struct PlacementCandidate {
    std::string_view id;
    bool sameZone = false;      // It is in this box's availability zone.
    bool tried = false;         // This request was sent to it, or found it out of reach.
    bool ejected = false;       // See UpstreamHealth.
    bool holdsPrompt = false;   // It is known to hold the prompt's last shared part.
    bool loadReported = false;  // Its load follows from what it reported, not from a count.
    int ownLoad = 0;            // This box's requests there.
    int load = 0;               // All boxes' requests there, as far as this box can tell.
    int slots = 1;              // Requests that it works on at once.
};

// For models: prompts with the same shared part prefer the same upstream, over all zones, by
// rendezvous hashing; where it has reached its bound the next in the same order takes them. An
// upstream that holds the part in its cache need not read it again.
struct AffinityPolicy {
    // An upstream is given no more than multiple x the mean load + margin. The operators allow
    // twice the mean + 3; the rest is for loads that are a digest old.
    double multiple = 1.8;
    double margin = 2.5;
    // The loads come from a sample of the boxes and are old by the time that many requests take. A
    // sharp bound would then be passed by all boxes at once, so each request draws its own, between
    // a little over the mean and the full one. What the first choice does not take is shared by
    // several upstreams, since the next in order would be filled by all boxes at once.
    bool randomizeBound = false;
    // Mean load of all upstreams, where it is known better than by the mean of the candidates'
    // loads: reports that are passed on are of full upstreams more often than of others.
    std::optional<double> meanLoad;
    // Mean load of the candidates and of the zones that are left out: the operators' limit is a
    // multiple of it. Nothing: no zone is.
    std::optional<double> serviceMean;
    // The place of this box among all boxes, in an order that they agree on.
    size_t boxRank = 0;
    // The share of the requests that ask for this prompt, as far as this box can tell: 0 to 1.
    // With randomizeBound, so many upstreams share the prompt that it brings each of them some
    // quarter of the mean load, before any count shows it.
    double promptShare = 0;
};
// For plain services: the own zone's upstreams first, the least loaded of them; full ones last.
struct ZoneFirstPolicy {};
using PlacementPolicy = std::variant<AffinityPolicy, ZoneFirstPolicy>;

// Why an upstream was chosen, for the log.
enum class PlacementReason : uint8_t {
    kPreferred,         // Affinity: the prompt's first choice.
    kOverflow,          // Affinity: the first choice has reached the bound on its load.
    kPreferredEjected,  // Affinity: the first choice is ejected.
    kSameZone,          // Zone-first: an upstream of the own zone.
    kOtherZone,         // Zone-first: none of the own zone had room.
};

// The reason as it stands in the log. Thread safety: any thread.
std::string_view PlacementReasonName(PlacementReason reason);

// An upstream, by its index among the candidates, and why: the numbers that decided, in requests.
struct PlacementChoice {
    size_t index = 0;
    PlacementReason reason = PlacementReason::kPreferred;
    double meanLoad = 0;  // Of the candidates that could have been chosen.
    int bound = 0;        // From this load on an upstream counted as full.
};

// Chooses among `candidates`; nothing if there is none. `promptHash`: of the prompt's last shared
// part; requests without one give `draw`, a random number of the request's own.
// Preconditions: none. Thread safety: any thread.
std::optional<PlacementChoice> ChooseUpstream(const PlacementPolicy& policy,
                                              std::span<const PlacementCandidate> candidates,
                                              uint64_t promptHash, uint64_t draw);

}  // namespace onyx
