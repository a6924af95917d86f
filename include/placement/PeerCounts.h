// What the other boxes have in flight at each upstream, by their digests: an input of
// ChooseUpstream. Soft state: what is old counts for nothing.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class PeerCounts {
public:
    using Counts = std::vector<std::pair<uint32_t, int>>;  // By upstream number.

    // Takes in a box's digest, in place of its last; it counts for `validFor`.
    // Preconditions: validFor > 0.
    void take(const std::string& box, Counts counts, MonoTime now, Millis validFor);

    // Forgets a box whose link is gone. Preconditions: none.
    void forget(const std::string& box);

    // Forgets what all boxes have at `upstream`, by its number: it has started again.
    // Preconditions: none.
    void forgetUpstream(uint32_t upstream);

    // Forgets the digests that are no longer validFor. Preconditions: times do not fall.
    void expire(MonoTime now);

    // The site has `boxes`, this one included; of the others the part `share` announce their counts
    // here once all links stand. In a small site all do.
    // Preconditions: 0 < share <= 1, boxes > 0.
    void setSite(size_t boxes, double share) {
        m_siteSize = boxes;
        m_announcingShare = share;
    }

    // The part of all boxes that is counted, this one included: those heard of lately. Less than
    // setSite() told while links are missing, as after a start. Preconditions: setSite() was
    // called.
    double countedShare() const;

    // Whether some of the other boxes announce nothing here. Preconditions: none.
    bool isSample() const { return m_announcingShare < 1; }

    // Requests that the boxes that announce here have in flight at `upstream`. Preconditions: none.
    int at(const std::string& upstream) const;

    // Boxes whose digest counts. Preconditions: none.
    size_t boxes() const { return m_boxes.size(); }

private:
    struct Digest {
        MonoTime until;
        Counts counts;
    };

    void subtract(const Counts& counts);

    std::map<std::string, Digest> m_boxes;
    std::unordered_map<uint32_t, int> m_sums;  // Over all boxes that announce.
    double m_announcingShare = 1;
    size_t m_siteSize = 1;
};

}  // namespace onyx
