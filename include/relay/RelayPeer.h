// Decides which other box a request is relayed to when this box reaches no upstream of its service.
// The other box then handles it as if its own caller had sent it.
//
// Inputs: the linked boxes that take relayed requests, what they announced about the service, and
// this box's relayed requests at each. A box in the same zone comes first, since it costs no bytes
// between zones; of two boxes chosen at random the one with fewer relayed requests is taken, so
// that the boxes of a partitioned zone do not all choose the same one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace onyx {

// A linked box that takes relayed requests.
struct RelayCandidate {
    std::string address;
    bool sameZone = false;
    bool reachesService = true;  // It has not announced that it reaches no upstream of the service.
    bool allowed = true;         // The request may be handled in the box's region.
    bool tried = false;          // It did not take this request.
    size_t relayed = 0;          // This box's relayed requests there.
};

// Returns the index of the box to relay to, or nullopt if no box may get the request. `draw`: a
// random number. Preconditions: none. Thread safety: any thread.
std::optional<size_t> ChooseRelayPeer(std::span<const RelayCandidate> candidates, uint64_t draw);

}  // namespace onyx
