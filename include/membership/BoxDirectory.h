// Decides which boxes of a site this box dials, which are its neighbours, and which it announces to
// other boxes. Owns what this box knows of them. Relies on nothing but their addresses, which all
// boxes hash alike.
//
// A new box is announced once, so that the control traffic of a large site grows with its changes
// and not with its links.
//
// A box of a large site has no direct link to most of the others. Each box periodically reports how
// long ago each box that it knows was last seen, so that a running box stays known to all and a
// stopped one expires everywhere. The age counts from the last message of the box itself, whatever
// way the report took: the reported age of a stopped box only grows.
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

// A box of the site, with the address that others dial.
struct KnownBox {
    std::string address;  // "ip:port" of its frame listener.
    std::string zone;     // Empty while unknown.
    friend bool operator==(const KnownBox&, const KnownBox&) = default;
};

// When a box was last seen, as boxes report it to each other.
struct BoxSighting {
    uint32_t box = 0;  // Short hash of its address.
    Millis age = 0;    // Time since its last message, in milliseconds.
};

// The boxes that one box knows. Not thread safe: one task owns it.
class BoxDirectory {
public:
    // A sighting of a box is forwarded when it is this much newer than the one that was forwarded
    // last. 340 boxes cost 340 x 6 bytes x 32 links in this time, 360 bytes a second.
    static constexpr Millis kSightingPeriodMs = 180000;
    // A box that was not seen for this long expires. Sightings take about ten hops on a site of 340
    // boxes, each hop a part of kSightingPeriodMs.
    static constexpr Millis kExpiryMs = 600000;
    // Most sightings in one digest; limits them to 190 bytes.
    static constexpr size_t kMaxSightings = 32;
    // Other boxes that are known from reports; further ones are known once they link themselves.
    static constexpr size_t kMaxReported = 4096;

    // `self`: this box. `maxDialed`: number of boxes that each box dials in a large site.
    // Preconditions: maxDialed > 0.
    BoxDirectory(KnownBox self, size_t maxDialed);

    // Adds `box`, which another box reported as seen at `lastSeen`. Returns false if it is not
    // known and kMaxReported boxes are. Preconditions: none.
    bool learn(const KnownBox& box, MonoTime lastSeen);

    // Notes that a message of `box` itself arrived.
    // Preconditions: `now` does not decrease from call to call.
    void noteContact(const KnownBox& box, MonoTime now);

    // Time since `address` was last seen, in milliseconds; 0 for this box and for unknown ones.
    // Preconditions: as above.
    Millis age(const std::string& address, MonoTime now) const;

    // Notes a sighting that another box reported; ignored for unknown boxes and negative ages.
    // Preconditions: as above.
    void noteSighting(const BoxSighting& sighting, MonoTime now);

    // The sightings to forward, at most kMaxSightings; those last forwarded longest ago come first.
    // Preconditions: as above.
    std::vector<BoxSighting> takeSightings(MonoTime now);

    // Removes the boxes that were last seen before `oldest`, except those for which `keep` is true.
    // Preconditions: none.
    void expire(MonoTime oldest, const std::function<bool(const std::string&)>& keep);

    // The boxes that became known, or whose zone became known, since the last call. They are to be
    // announced to other boxes. Preconditions: none.
    std::vector<KnownBox> takeNewBoxes();

    // All known boxes, including this one. Preconditions: none.
    std::vector<KnownBox> all() const;

    // Addresses that this box has to dial. In a small site these are about half of the boxes, since
    // one box of each pair dials the other; in a large site a stable sample. `hasNoLinks`: this box
    // has no link yet, so it dials every box that it knows, as no other box may know of it.
    // Preconditions: none.
    std::vector<std::string> boxesToDial(bool hasNoLinks) const;

    // Address of this box. Preconditions: none.
    const std::string& self() const { return m_self.address; }

    // Whether this box dials `address` or is dialed by it: the two report their requests in flight
    // to each other. Preconditions: none.
    bool isNeighbour(const std::string& address) const;

    // Share of the other boxes that are neighbours; 1 if there is no other box.
    // Preconditions: none.
    double neighbourShare() const;

    // Addresses of the boxes in the zone of this box, including this one, in an order that is the
    // same on all boxes that know the same ones. Preconditions: none.
    std::vector<std::string> zoneOrder() const;

    // Changes whenever a box is added or removed. Preconditions: none.
    uint64_t version() const { return m_version; }

    // Number of known boxes, including this one. Preconditions: none.
    size_t size() const { return m_boxes.size() + 1; }

private:
    struct Entry {
        std::string zone;
        MonoTime lastSeen;
        MonoTime publishedAsOf;  // lastSeen of the sighting that was forwarded last.
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
    // All boxes, ordered by hash: each box dials those that follow it.
    std::vector<std::pair<uint64_t, std::string>> m_ring;
    size_t m_selfIndex = 0;
    uint64_t m_version = 0;
};

}  // namespace onyx
