#include "include/membership/AnnouncedBoxes.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

// The hash includes the zone, so a box whose zone becomes known is announced again. If two boxes
// have the same hash (one pair in 10^5 sites of 300 boxes), one of them is announced later, over
// another link.
bool AnnouncedBoxes::Insert(ShortHashes& hashes, const KnownBox& box) {
    const uint32_t hash = ShortHash(box.address + " " + box.zone);
    const auto at = std::lower_bound(hashes.begin(), hashes.end(), hash);
    if (at != hashes.end() && *at == hash) {
        return false;
    }
    hashes.insert(at, hash);
    return true;
}

void AnnouncedBoxes::linkOpened(const KnownBox& peer) {
    ShortHashes& hashes = m_announced[peer.address];
    hashes.clear();
    Insert(hashes, peer);
}

void AnnouncedBoxes::noteAnnounced(const std::string& peer, const KnownBox& box) {
    const auto it = m_announced.find(peer);
    if (it != m_announced.end()) {
        Insert(it->second, box);
    }
}

std::vector<KnownBox> AnnouncedBoxes::takeUnannounced(const std::string& peer,
                                                      std::span<const KnownBox> boxes) {
    std::vector<KnownBox> unknown;
    const auto it = m_announced.find(peer);
    if (it == m_announced.end()) {
        return unknown;
    }
    for (const KnownBox& box : boxes) {
        if (Insert(it->second, box)) {
            unknown.push_back(box);
        }
    }
    return unknown;
}

}  // namespace onyx
