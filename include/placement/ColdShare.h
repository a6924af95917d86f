// Selects the boxes of a site that send requests to a cold upstream, and the interval at which each
// sends them, so that all boxes together stay below the operators' limit in every second.
//
// Boxes cannot coordinate their counts within a second, so the rate is divided in advance. For each
// upstream, a few boxes are selected by a hash that all boxes compute identically. Each gets an
// equal part of the rate and does not carry over unused capacity. The other boxes send nothing to
// the cold upstream. Prompts that prefer it are meanwhile processed by another upstream, as they
// were while it was down.
//
// Boxes with different views of the site may select different boxes. To allow for that, the planned
// rate is at most half of the limit. A box that has other boxes on its list but no link to any, or
// that has just started, cannot determine which boxes send, so it sends nothing.
//
// Inputs: the listed and linked boxes of the site, the operators' limits, the time.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace onyx {

// Limit on the requests to a cold upstream: at most perSecond * overshoot + tolerance requests in
// any one second. perSecond is the sustained rate that the upstream can handle.
struct ColdLimit {
    double perSecond = 0;
    double overshoot = 1;
    double tolerance = 0;
};

// Not thread safe: one task owns it.
class ColdShare {
public:
    static constexpr size_t kSendersPerUpstream = 3;  // Boxes that share the rate of one upstream.
    // Time after its start, in milliseconds, that a box needs to discover the other boxes of its
    // site.
    static constexpr Millis kDiscoveryTime = 3000;

    // Sets this box's address and the addresses of the other boxes of the site. The first call
    // starts kDiscoveryTime. setLinked() sets the number of other boxes that are linked.
    // Preconditions: times do not decrease.
    void setBoxes(const std::string& self, std::vector<std::string> others, MonoTime now);
    void setLinked(size_t linked) { m_linked = linked; }

    // Returns true if this box may send requests to the upstream while it is cold. Preconditions:
    // as for setBoxes().
    bool maySend(const std::string& upstream, MonoTime now) const;

    // Returns the interval between two requests of this box to one cold upstream, in milliseconds.
    // Preconditions: limit.perSecond > 0.
    Millis spacing(const ColdLimit& limit) const;

private:
    bool isSelected(const std::string& upstream) const;

    std::string m_self;
    std::vector<std::string> m_others;
    size_t m_linked = 0;
    MonoTime m_firstSetAt;  // When setBoxes() was first called.
    bool m_boxesSet = false;
    mutable std::unordered_map<std::string, bool> m_selectedByUpstream;  // For the current boxes.
};

}  // namespace onyx
