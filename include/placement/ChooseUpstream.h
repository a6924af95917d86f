// Chooses the upstream of a service that an attempt is sent to.
//
// Inputs: the service's upstreams that are not draining, each with its zone, its load (an estimate
// of the requests in flight from all boxes), its slots, whether it is ejected and whether this
// request has already tried it; a hash of the prompt; a random number drawn for the request.
//
// Of upstreams that are equally suitable, the one with the least work before a new request is
// chosen: its load times the time that work takes there now.
//
// Under every policy, upstreams that this request has not tried come first, and among these the
// ones that are not ejected. A condition that no upstream meets is dropped, so a request is refused
// only if the service has no upstream at all.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace onyx {

// An upstream that an attempt may be sent to, with its state as known to this box.
struct PlacementCandidate {
    std::string_view id;
    bool sameZone = false;      // In this box's availability zone.
    bool tried = false;         // This request was sent to it or failed to reach it.
    bool ejected = false;       // See UpstreamHealth.
    bool holdsPrompt = false;   // Known to hold the prompt's last shared part.
    bool loadReported = false;  // `load` is based on the upstream's own report, not on counts.
    int ownLoad = 0;            // Requests in flight from this box.
    int load = 0;               // Estimated requests in flight from all boxes.
    int slots = 1;              // Requests that it processes concurrently.
    int workTimePercent = 100;  // Time that work takes there now, in percent of the usual time.
};

// Policy for models. Prompts with the same last shared part prefer the same upstream, across all
// zones, by rendezvous hashing. If that upstream has reached its load bound, the request overflows
// to others, by default to the next one in the same order. An upstream that has the part in its
// cache need not process it again.
struct AffinityPolicy {
    // An upstream receives no further requests once its load reaches multiple * mean load + margin,
    // in requests. The operators allow twice the mean + 3; the difference allows for loads that are
    // as old as a digest.
    double multiple = 1.8;
    double margin = 2.5;
    // Set if loads are estimated from a sample of the boxes; such loads are also out of date by as
    // long as many requests take. With a fixed bound, all boxes would exceed it at the same time.
    // Each request therefore draws its own bound at random, between slightly above the mean and the
    // full bound. Requests that overflow are spread over several upstreams, because all boxes
    // together would fill the next upstream in the order at once.
    bool randomizeBound = false;
    // Mean load of all upstreams, in requests, if a better value is known than the mean of the
    // candidates' loads. Forwarded reports overstate the mean, because reports of full upstreams
    // are forwarded more often than others.
    std::optional<double> meanLoad;
    // Mean load of the candidates and of the upstreams in excluded zones, in requests. The
    // operators' limit is a multiple of this mean. Empty if no zone is excluded.
    std::optional<double> serviceMean;
    // Rank of this box in an ordering of all boxes that every box agrees on.
    size_t boxRank = 0;
    // Estimated share of the requests that ask for this prompt: 0 to 1. With randomizeBound, the
    // prompt is spread over enough upstreams that it adds about a quarter of the mean load to each
    // of them, before any load count reflects it.
    double promptShare = 0;
};
// Policy for plain services: prefers upstreams with a free slot, then this box's own zone, then the
// lowest load.
struct ZoneFirstPolicy {};
using PlacementPolicy = std::variant<AffinityPolicy, ZoneFirstPolicy>;

// Why an upstream was chosen; logged.
enum class PlacementReason : uint8_t {
    kPreferred,         // Affinity: the prompt's first choice.
    kOverflow,          // Affinity: the first choice has reached its load bound.
    kPreferredEjected,  // Affinity: the first choice is ejected.
    kSameZone,          // Zone-first: an upstream in this box's zone.
    kOtherZone,         // Zone-first: no upstream in this box's zone had a free slot.
};

// Returns the reason's name as logged. Thread safety: any thread.
std::string_view PlacementReasonName(PlacementReason reason);

// The chosen upstream, as an index into the candidates, with the reason and the figures that
// decided, in requests.
struct PlacementChoice {
    size_t index = 0;
    PlacementReason reason = PlacementReason::kPreferred;
    double meanLoad = 0;  // Of the candidates that were eligible.
    int bound = 0;        // The load at which the chosen upstream counts as full.
};

// Chooses one of `candidates`; returns nothing if there are none. `promptHash` is the hash of the
// prompt's last shared part; requests without one pass `draw`. `draw` is a random number drawn for
// the request. Preconditions: none. Thread safety: any thread.
std::optional<PlacementChoice> ChooseUpstream(const PlacementPolicy& policy,
                                              std::span<const PlacementCandidate> candidates,
                                              uint64_t promptHash, uint64_t draw);

}  // namespace onyx
