// Decides which boxes of a site this box dials, which are its neighbours, and which it passes on.
// Owns what it has heard of them. Relies on nothing but their addresses, which all boxes hash
// alike.
//
// Newcomers are passed on once, so that the control bytes of a large site grow with its changes and
// not with its dials.
//
// A box of a large site hears most others through boxes between only. Each box says now and then
// how long ago each box that it knows was heard of itself, so that one that lives stays known to
// all, and one that is gone is forgotten by all. The age counts from the last word of the box
// itself, whatever way it came: what is said of a dead box only gets older.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace onyx {

// A box as others dial it.
struct KnownBox {
    std::string address;  // "ip:port" of its frames.
    std::string zone;     // Empty while it is not known.
    friend bool operator==(const KnownBox&, const KnownBox&) = default;
};

// When a box was heard of itself, as boxes tell each other.
struct BoxSighting {
    uint32_t box = 0;  // The short hash of its address.
    Millis age = 0;    // Since its last word, in milliseconds.
};

// Not thread safe: one task owns it.
class BoxDirectory {
public:
    // In milliseconds. A sighting of a box is passed on when it is so much newer than the one that
    // was passed on last. 340 boxes cost 340 x 6 bytes x 32 dials in this time, 360 bytes a second.
    static constexpr Millis kSightingPeriodMs = 180000;
    // In milliseconds. A box that was not heard of for so long is forgotten. Sightings take some
    // ten hops on a site of 340 boxes, a part of kSightingPeriodMs each.
    static constexpr Millis kExpiryMs = 600000;
    // Sightings in one digest, so that it stays small: 190 bytes.
    static constexpr size_t kMaxSightings = 32;

    // `self`: this box. `maxDialed`: boxes that each box dials in a site of many.
    // Preconditions: maxDialed > 0.
    BoxDirectory(KnownBox self, size_t maxDialed);

    // Takes in what another box says of `box`, which lived at `heard`. Preconditions: none.
    void learn(const KnownBox& box, MonoTime heard);

    // Something came from `box` itself. Preconditions: times do not fall.
    void noteContact(const KnownBox& box, MonoTime now);

    // How long ago `address` was known to live, in milliseconds; 0 for this box and unknown ones.
    // Preconditions: as above.
    Millis age(const std::string& address, MonoTime now) const;

    // Another box heard of a box. Preconditions: as above.
    void noteSighting(const BoxSighting& sighting, MonoTime now);

    // Sightings to be passed on, those that waited longest first, at most kMaxSightings.
    // Preconditions: as above.
    std::vector<BoxSighting> takeSightings(MonoTime now);

    // Forgets boxes that were last heard of before `oldest`, but for those that `keep` names.
    // Preconditions: none.
    void expire(MonoTime oldest, const std::function<bool(const std::string&)>& keep);

    // The boxes that became known, or whose zone did, since the last call; they are to be passed
    // on. Preconditions: none.
    std::vector<KnownBox> takeNewBoxes();

    // All boxes, this one included. Preconditions: none.
    std::vector<KnownBox> all() const;

    // The boxes that this one is to dial. In a small site that is about half of them, since of two
    // boxes one dials; in a large one a stable sample. `hasNoLinks`: this box has no link yet, so
    // it dials all that it knows, as nobody may know of it. Preconditions: none.
    std::vector<std::string> boxesToDial(bool hasNoLinks) const;

    // Address of this box. Preconditions: none.
    const std::string& self() const { return m_self.address; }

    // Whether this box dials `address`, or would be dialed by it: the two announce to each other
    // what they have in flight. Preconditions: none.
    bool isNeighbour(const std::string& address) const;

    // The part of the other boxes that are neighbours; 1 if there is no other box.
    // Preconditions: none.
    double neighbourShare() const;

    // Addresses of the boxes of this box's zone, this one included, in an order that all boxes
    // agree on as far as they know the same boxes. Preconditions: none.
    std::vector<std::string> zoneOrder() const;

    // Changes whenever a box comes or goes. Preconditions: none.
    uint64_t version() const { return m_version; }

    // Boxes known, this one included. Preconditions: none.
    size_t size() const { return m_boxes.size() + 1; }

private:
    struct Entry {
        std::string zone;
        MonoTime lastSeen;
        MonoTime publishedAsOf;  // As of when it was heard, when that was passed on last.
    };

    Entry& upsert(const KnownBox& box, MonoTime now);
    void rebuildRing();
    void insertIntoRing(const std::string& address);
    bool dials(size_t from, size_t to) const;

    KnownBox m_self;
    size_t m_maxDialed;
    std::map<std::string, Entry> m_boxes;         // By address.
    std::map<uint32_t, std::string> m_addresses;  // By short hash.
    std::vector<std::string> m_newBoxes;          // Addresses.
    // All boxes in the order of their hashes: each dials those that follow it.
    std::vector<std::pair<uint64_t, std::string>> m_ring;
    size_t m_selfIndex = 0;
    uint64_t m_version = 0;
};

}  // namespace onyx
