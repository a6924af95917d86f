// Decides which boxes a linked box is still to be told of.
//
// Inputs: what came over each link, and what was sent over it. Owns a number for each box that the
// box at the other end is known to know.
//
// The pattern: hundreds of boxes start at one moment, or after the loss of all. Each told each new
// box over all its links, also to those that had just told it, and both ends of a new link sent
// their whole lists. What a calm day of 295 boxes sent between zones fell from 0.29 to 0.21 GB when
// they no longer did.
#pragma once

#include "include/membership/BoxDirectory.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class AnnouncedBoxes {
public:
    // A link to `peer` stands; nothing was said over it yet. Preconditions: none.
    void linkOpened(const KnownBox& peer);

    // The link to `peer` is gone. Preconditions: none.
    void linkClosed(const std::string& peer) { m_announced.erase(peer); }

    // The box at `peer` said that it knows `box`. Preconditions: none.
    void noteAnnounced(const std::string& peer, const KnownBox& box);

    // Those of `boxes` that `peer` is not known to know; they count as told from now on. None if
    // there is no link to it. Preconditions: none.
    std::vector<KnownBox> takeUnannounced(const std::string& peer, std::span<const KnownBox> boxes);

private:
    using ShortHashes =
        std::vector<uint32_t>;  // In rising order: some 4 bytes for each link and box.

    static bool Insert(ShortHashes& hashes, const KnownBox& box);

    std::map<std::string, ShortHashes> m_announced;  // By the peer's address.
};

}  // namespace onyx
