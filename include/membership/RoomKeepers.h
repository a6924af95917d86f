// Decides which boxes collect the counts of a service (RoomExchange), in two steps, so that what
// each box sends and receives does not grow with the site. The boxes of a zone are divided into
// groups of at most kGroupSize by the hashes of their addresses. Each group has collectors, which
// sum the counts of its boxes, in the zone of the group; the roots sum those of all groups. All
// boxes that know the same boxes choose the same ones, and different services have different ones.
//
// The second collector and the second root take over when the first is silent. The best box of a
// group's zone is its last root, so that a zone that is cut off from the others still has one.
#pragma once

#include "include/membership/BoxDirectory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class RoomKeepers {
public:
    static constexpr size_t kGroupSize = 32;
    static constexpr size_t kCollectors = 2;  // Of a group.
    static constexpr size_t kRoots = 2;  // Of a service, in different zones if there are several.

    // Sets the boxes of the site; those whose zone is not known yet collect nothing.
    // Preconditions: none.
    void setBoxes(const std::vector<KnownBox>& boxes);

    // The collectors of the group of `box`, best first. Preconditions: none.
    std::vector<std::string> collectorsOf(uint64_t service, std::string_view box) const;
    // The roots for boxes in `zone`, best first, at most kRoots + 1. Preconditions: none.
    std::vector<std::string> rootsOf(uint64_t service, std::string_view zone) const;
    // The collectors of each group of the site, best first. Preconditions: none.
    std::vector<std::vector<std::string>> allCollectors(uint64_t service) const;
    // The collectors of each group in `zone`, best first. Preconditions: none.
    std::vector<std::vector<std::string>> collectorsIn(uint64_t service,
                                                       std::string_view zone) const;
    // The boxes of the group of `box`. Preconditions: none.
    std::vector<std::string> groupOf(std::string_view box) const;
    size_t boxCount() const { return m_boxCount; }

private:
    struct Box {
        std::string address;
        uint64_t hash = 0;  // Of the address.
    };
    using Group = std::vector<Box>;  // By hash.
    struct Zone {
        std::string name;
        uint64_t hash = 0;  // Of the name.
        std::vector<Group> groups;
    };

    const Group* findGroup(std::string_view box) const;
    static std::vector<Group> Divide(std::vector<Box> boxes);
    static std::vector<std::string> CollectorsOf(const Group& group, uint64_t service);
    static std::vector<std::string> BestBoxes(const Zone& zone, uint64_t service, size_t count);

    std::vector<Zone> m_zones;  // By name.
    size_t m_boxCount = 0;
};

}  // namespace onyx
