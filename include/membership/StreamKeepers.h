// Decides which boxes keep the record of a stream, so that any box can find it when the stream's
// caller comes back: two boxes in the zone of the box that writes or looks for the record, and one
// box in each of two zones that follow from the stream. All boxes that know the same boxes choose
// the same ones.
//
// The callers of a zone come back to its boxes as long as some of them run; the other two zones
// hold the record when the whole zone is lost. The number of records per stream does not depend on
// the number of boxes.
#pragma once

#include "include/membership/BoxDirectory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class StreamKeepers {
public:
    static constexpr size_t kInOwnZone = 2;
    static constexpr size_t kOtherZones = 2;

    // Sets the boxes of the site; those whose zone is not known yet keep no records.
    // Preconditions: none.
    void setBoxes(const std::vector<KnownBox>& boxes);

    // Returns the addresses of the boxes that keep the record of `stream` for boxes in `zone`, each
    // once, at most kInOwnZone + kOtherZones. Preconditions: none.
    std::vector<std::string> keepersOf(uint64_t stream, std::string_view zone) const;

private:
    struct Box {
        std::string address;
        uint64_t hash = 0;  // Of the address.
    };
    struct Zone {
        std::string name;
        uint64_t hash = 0;  // Of the name.
        std::vector<Box> boxes;
    };

    std::vector<Zone> m_zones;
};

}  // namespace onyx
