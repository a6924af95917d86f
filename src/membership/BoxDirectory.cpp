#include "include/membership/BoxDirectory.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

BoxDirectory::BoxDirectory(KnownBox self, size_t maxDialed)
    : m_self(std::move(self)), m_maxDialed(maxDialed) {
    rebuildRing();
}

void BoxDirectory::rebuildRing() {
    m_ring.clear();
    m_addresses.clear();
    insertIntoRing(m_self.address);
    for (const auto& [address, entry] : m_boxes) {
        insertIntoRing(address);
    }
}

// Inserts a single box instead of sorting the ring: a box that starts learns of hundreds of boxes,
// and sorting all of them for each took most of the CPU time of that second (BoxDirectoryTest, 295
// boxes that learn of each other: 30 s with sorting, 8 s without).
void BoxDirectory::insertIntoRing(const std::string& address) {
    ++m_version;
    const std::pair<uint64_t, std::string> entry(HashText(address), address);
    m_ring.insert(std::lower_bound(m_ring.begin(), m_ring.end(), entry), entry);
    if (address != m_self.address) {
        m_addresses[ShortHash(address)] = address;
    }
    const std::pair<uint64_t, std::string> self(HashText(m_self.address), m_self.address);
    const auto found = std::lower_bound(m_ring.begin(), m_ring.end(), self);
    m_selfIndex = static_cast<size_t>(found - m_ring.begin());
}

BoxDirectory::Entry& BoxDirectory::upsert(const KnownBox& box, MonoTime now) {
    const auto [it, isNew] = m_boxes.try_emplace(box.address, Entry{box.zone, now, now});
    const bool bringsZone = !box.zone.empty() && it->second.zone != box.zone;
    if (bringsZone) {
        it->second.zone = box.zone;
        ++m_version;
    }
    if (isNew) {
        insertIntoRing(box.address);
    }
    if (isNew || bringsZone) {
        m_newBoxes.push_back(box.address);
    }
    return it->second;
}

bool BoxDirectory::learn(const KnownBox& box, MonoTime lastSeen) {
    if (m_boxes.size() >= kMaxReported && box.address != m_self.address &&
        !m_boxes.contains(box.address)) {
        return false;
    }
    noteContact(box, lastSeen);
    return true;
}

void BoxDirectory::noteContact(const KnownBox& box, MonoTime now) {
    if (box.address != m_self.address) {
        Entry& entry = upsert(box, now);
        entry.lastSeen = std::max(entry.lastSeen, now);
    }
}

Millis BoxDirectory::age(const std::string& address, MonoTime now) const {
    const auto it = m_boxes.find(address);
    return it == m_boxes.end() ? 0 : std::max<Millis>(0, now - it->second.lastSeen);
}

void BoxDirectory::noteSighting(const BoxSighting& sighting, MonoTime now) {
    const auto known = m_addresses.find(sighting.box);
    if (known != m_addresses.end() && sighting.age >= 0) {
        Entry& entry = m_boxes.at(known->second);
        entry.lastSeen = std::max(entry.lastSeen, now - sighting.age);
    }
}

std::vector<BoxSighting> BoxDirectory::takeSightings(MonoTime now) {
    std::vector<std::pair<MonoTime, std::string>> due;
    for (const auto& [address, entry] : m_boxes) {
        if (entry.lastSeen - entry.publishedAsOf >= kSightingPeriodMs) {
            due.emplace_back(entry.publishedAsOf, address);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), kMaxSightings));
    std::vector<BoxSighting> sightings;
    for (const auto& [publishedAsOf, address] : due) {
        Entry& entry = m_boxes.at(address);
        entry.publishedAsOf = entry.lastSeen;
        sightings.push_back({ShortHash(address), now - entry.lastSeen});
    }
    return sightings;
}

void BoxDirectory::expire(MonoTime oldest, const std::function<bool(const std::string&)>& keep) {
    const size_t expired = std::erase_if(
        m_boxes, [&](const auto& box) { return box.second.lastSeen < oldest && !keep(box.first); });
    if (expired > 0) {
        rebuildRing();
    }
}

std::vector<KnownBox> BoxDirectory::takeNewBoxes() {
    std::vector<KnownBox> newBoxes;
    for (const std::string& address : std::exchange(m_newBoxes, {})) {
        const auto it = m_boxes.find(address);
        if (it != m_boxes.end()) {
            newBoxes.push_back({address, it->second.zone});
        }
    }
    return newBoxes;
}

std::vector<KnownBox> BoxDirectory::all() const {
    std::vector<KnownBox> boxes{m_self};
    for (const auto& [address, entry] : m_boxes) {
        boxes.push_back({address, entry.zone});
    }
    return boxes;
}

// Whether the box at index `from` of the ring dials the one at index `to`.
bool BoxDirectory::dials(size_t from, size_t to) const {
    const size_t distance = (to + m_ring.size() - from) % m_ring.size();
    return distance >= 1 && distance <= m_maxDialed;
}

std::vector<std::string> BoxDirectory::boxesToDial(bool hasNoLinks) const {
    std::vector<std::string> dialed;
    for (size_t i = 0; i < m_ring.size(); ++i) {
        const std::string& address = m_ring[i].second;
        if (i == m_selfIndex) {
            continue;
        }
        // If two boxes would dial each other, only the one with the smaller address does.
        const bool isOurs =
            dials(m_selfIndex, i) && (m_self.address < address || !dials(i, m_selfIndex));
        if (hasNoLinks || isOurs) {
            dialed.push_back(address);
        }
    }
    return dialed;
}

bool BoxDirectory::isNeighbour(const std::string& address) const {
    const std::pair<uint64_t, std::string> place(HashText(address), address);
    const auto it = std::lower_bound(m_ring.begin(), m_ring.end(), place);
    if (it == m_ring.end() || *it != place) {
        return false;
    }
    const auto index = static_cast<size_t>(it - m_ring.begin());
    return dials(m_selfIndex, index) || dials(index, m_selfIndex);
}

double BoxDirectory::neighbourShare() const {
    const size_t others = m_boxes.size();
    const size_t neighbours = std::min(others, 2 * m_maxDialed);
    return others == 0 ? 1 : static_cast<double>(neighbours) / static_cast<double>(others);
}

std::vector<std::string> BoxDirectory::zoneOrder() const {
    std::vector<std::string> order{m_self.address};
    for (const auto& [address, entry] : m_boxes) {
        if (entry.zone == m_self.zone) {
            order.push_back(address);
        }
    }
    const uint64_t zone = HashText(m_self.zone);
    std::sort(order.begin(), order.end(), [&](const std::string& a, const std::string& b) {
        return RendezvousScore(zone, a) > RendezvousScore(zone, b);
    });
    return order;
}

}  // namespace onyx
