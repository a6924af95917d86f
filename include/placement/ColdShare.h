// Decides which boxes of a site send requests to a cold upstream, and how far apart each sends
// them, so that all boxes together keep below what the operators allow in any one second.
//
// Boxes cannot count together in so short a time, so the rate is shared out beforehand: a few
// boxes, drawn for each upstream by a hash that all boxes compute alike, have an equal part of it
// and do not save what they leave unused. The others send elsewhere; what prefers a cold upstream
// has its prompt read by another one meanwhile, as while it was away.
//
// Boxes that know different boxes may draw different ones; the rate is planned at no more than half
// of what is allowed for that. A box that knows of others and is linked to none, or has just
// started, cannot tell who else sends, and sends none.
//
// Inputs: the boxes known and linked, the operators' figures, the time.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace onyx {

// What a cold upstream is sent at most, in requests: in each second perSecond x overshoot +
// tolerance; perSecond is what it bears.
struct ColdLimit {
    double perSecond = 0;
    double overshoot = 1;
    double tolerance = 0;
};

// Not thread safe: one task owns it.
class ColdShare {
public:
    static constexpr size_t kSendersPerUpstream = 3;  // Boxes that share the rate of one upstream.
    // In milliseconds. A box knows its site this long after its start.
    static constexpr Millis kDiscoveryTime = 3000;

    // The boxes of the site but this one, by address, and how many of them are linked.
    // Preconditions: times do not fall.
    void setBoxes(const std::string& self, std::vector<std::string> others, MonoTime now);
    void setLinked(size_t linked) { m_linked = linked; }

    // Whether this box sends requests to the upstream while it is cold. Preconditions: as above.
    bool maySend(const std::string& upstream, MonoTime now) const;

    // The time between two requests of this box to one cold upstream, in milliseconds.
    // Preconditions: limit.perSecond > 0.
    Millis spacing(const ColdLimit& limit) const;

private:
    bool isSelected(const std::string& upstream) const;

    std::string m_self;
    std::vector<std::string> m_others;
    size_t m_linked = 0;
    MonoTime m_firstSetAt;  // When the first boxes were set.
    bool m_boxesSet = false;
    mutable std::unordered_map<std::string, bool>
        m_selectedByUpstream;  // By upstream, for these boxes.
};

}  // namespace onyx
