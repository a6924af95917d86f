#include "include/membership/RoomKeepers.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace onyx {

namespace {

// The entries in the order in which `service` prefers them, the best first. Ties are broken by the
// order of `entries`.
template <class Entry>
std::vector<const Entry*> Ranked(const std::vector<const Entry*>& entries, uint64_t service) {
    std::vector<std::pair<uint64_t, const Entry*>> scores;
    scores.reserve(entries.size());
    for (const Entry* entry : entries) {
        scores.emplace_back(HashPair(service, entry->hash), entry);
    }
    std::stable_sort(scores.begin(), scores.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<const Entry*> ranked;
    ranked.reserve(scores.size());
    for (const auto& [score, entry] : scores) {
        ranked.push_back(entry);
    }
    return ranked;
}

void AddOnce(std::vector<std::string>& addresses, const std::vector<std::string>& added) {
    for (const std::string& address : added) {
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
}

}  // namespace

void RoomKeepers::setBoxes(const std::vector<KnownBox>& boxes) {
    std::map<std::string, std::vector<Box>> byZone;
    for (const KnownBox& box : boxes) {
        if (!box.zone.empty()) {
            byZone[box.zone].push_back({box.address, HashText(box.address)});
        }
    }
    m_boxCount = boxes.size();
    m_zones.clear();
    for (auto& [name, members] : byZone) {
        m_zones.push_back({name, HashText(name), Divide(std::move(members))});
    }
}

// Groups of about the same size.
std::vector<RoomKeepers::Group> RoomKeepers::Divide(std::vector<Box> boxes) {
    std::sort(boxes.begin(), boxes.end(), [](const Box& a, const Box& b) {
        return std::tie(a.hash, a.address) < std::tie(b.hash, b.address);
    });
    const size_t count = (boxes.size() + kGroupSize - 1) / kGroupSize;
    std::vector<Group> groups(count);
    for (size_t i = 0; i < boxes.size(); ++i) {
        groups[i * count / boxes.size()].push_back(std::move(boxes[i]));
    }
    return groups;
}

const RoomKeepers::Group* RoomKeepers::findGroup(std::string_view box) const {
    for (const Zone& zone : m_zones) {
        for (const Group& group : zone.groups) {
            const bool isMember = std::any_of(group.begin(), group.end(), [&](const Box& member) {
                return member.address == box;
            });
            if (isMember) {
                return &group;
            }
        }
    }
    return nullptr;
}

// Those that `service` prefers least: the best one of the zone is a root, which has enough to do.
std::vector<std::string> RoomKeepers::CollectorsOf(const Group& group, uint64_t service) {
    std::vector<const Box*> boxes;
    for (const Box& box : group) {
        boxes.push_back(&box);
    }
    const auto ranked = Ranked(boxes, service);
    std::vector<std::string> collectors;
    for (size_t i = ranked.size(); i > 0 && collectors.size() < kCollectors; --i) {
        collectors.push_back(ranked[i - 1]->address);
    }
    return collectors;
}

std::vector<std::string> RoomKeepers::BestBoxes(const Zone& zone, uint64_t service, size_t count) {
    std::vector<const Box*> boxes;
    for (const Group& group : zone.groups) {
        for (const Box& box : group) {
            boxes.push_back(&box);
        }
    }
    std::vector<std::string> best;
    for (const Box* box : Ranked(boxes, service)) {
        if (best.size() < count) {
            best.push_back(box->address);
        }
    }
    return best;
}

std::vector<std::string> RoomKeepers::collectorsOf(uint64_t service, std::string_view box) const {
    const Group* group = findGroup(box);
    return group ? CollectorsOf(*group, service) : std::vector<std::string>();
}

std::vector<std::string> RoomKeepers::rootsOf(uint64_t service, std::string_view zone) const {
    std::vector<const Zone*> zones;
    zones.reserve(m_zones.size());
    for (const Zone& known : m_zones) {
        zones.push_back(&known);
    }
    std::vector<std::string> roots;
    const size_t perZone = zones.size() == 1 ? kRoots : 1;
    for (const Zone* known : Ranked(zones, service)) {
        if (roots.size() < kRoots) {
            AddOnce(roots, BestBoxes(*known, service, perZone));
        }
    }
    for (const Zone& known : m_zones) {
        if (known.name == zone) {
            AddOnce(roots, BestBoxes(known, service, 1));
        }
    }
    return roots;
}

std::vector<std::vector<std::string>> RoomKeepers::allCollectors(uint64_t service) const {
    std::vector<std::vector<std::string>> all;
    for (const Zone& zone : m_zones) {
        for (const Group& group : zone.groups) {
            all.push_back(CollectorsOf(group, service));
        }
    }
    return all;
}

std::vector<std::vector<std::string>> RoomKeepers::collectorsIn(uint64_t service,
                                                                std::string_view zone) const {
    std::vector<std::vector<std::string>> collectors;
    for (const Zone& known : m_zones) {
        if (known.name != zone) {
            continue;
        }
        for (const Group& group : known.groups) {
            collectors.push_back(CollectorsOf(group, service));
        }
    }
    return collectors;
}

std::vector<std::string> RoomKeepers::groupOf(std::string_view box) const {
    std::vector<std::string> addresses;
    if (const Group* group = findGroup(box)) {
        for (const Box& member : *group) {
            addresses.push_back(member.address);
        }
    }
    return addresses;
}

}  // namespace onyx
