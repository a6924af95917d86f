// Tracks the other boxes' requests in flight at each upstream, as received in their digests. An
// input of ChooseUpstream. Soft state: expired digests are not counted.
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
    using Counts =
        std::vector<std::pair<uint32_t, int>>;  // Pairs of ShortHash(upstream id) and count.

    // Records a box's digest, replacing its previous one. The digest counts for `validFor`
    // milliseconds. Preconditions: validFor > 0.
    void update(const std::string& box, Counts counts, MonoTime now, Millis validFor);

    // Removes the digest of a box whose link is down. Preconditions: none.
    void forget(const std::string& box);

    // Removes all boxes' counts for `upstream`, given by the ShortHash of its id, because it has
    // restarted. Preconditions: none.
    void forgetUpstream(uint32_t upstream);

    // Removes expired digests. Preconditions: times do not decrease.
    void expire(MonoTime now);

    // Sets the size of the site, `boxes`, including this box, and the `share` of the other boxes
    // that announce their counts to this box once all links are up. In a small site, all of them
    // do. Preconditions: 0 < share <= 1, boxes > 0.
    void setSite(size_t boxes, double share) {
        m_siteSize = boxes;
        m_announcingShare = share;
    }

    // Returns the share of all boxes that is counted: this box and those with an unexpired digest.
    // It is less than the share set with setSite() while links are missing, for example after a
    // start. Preconditions: setSite() was called.
    double countedShare() const;

    // Returns true if some of the other boxes do not announce their counts to this box.
    // Preconditions: none.
    bool isSample() const { return m_announcingShare < 1; }

    // Returns the requests in flight at `upstream` from the boxes that announce their counts to
    // this box. Preconditions: none.
    int at(const std::string& upstream) const;

    // Returns the number of boxes whose digest is counted. Preconditions: none.
    size_t boxes() const { return m_boxes.size(); }

private:
    struct Digest {
        MonoTime until;
        Counts counts;
    };

    void subtract(const Counts& counts);

    std::map<std::string, Digest> m_boxes;
    std::unordered_map<uint32_t, int>
        m_sums;  // Over all boxes that announce, by ShortHash of the upstream id.
    double m_announcingShare = 1;
    size_t m_siteSize = 1;
};

}  // namespace onyx
