// Decides to which availability zones no request is sent because the operators evacuate them.
//
// An order stands until it is taken back. A zone that is taken back may hold upstreams that are
// cold, and the list of upstreams that says so may come a little later than the end of the order:
// the zone stays left out until this box has a list from after that, or for kMaxReturnDelayMs.
//
// Inputs: the orders as the store or other boxes have them, with the store's revision; the age of
// the list of upstreams; times in milliseconds.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace onyx {

// What changed in the orders up to a revision of the store.
struct EvacuationChanges {
    bool whole = false;  // `begun` are all that stand, not changes.
    uint64_t revision = 0;
    std::vector<std::string> begun;  // Zones.
    std::vector<std::string> ended;
};

// Not thread safe: one task owns it.
class ZoneEvacuations {
public:
    // A zone that is taken back is left out no longer than this, in milliseconds: the store may not
    // answer, and its upstreams warm up meanwhile.
    static constexpr Millis kMaxReturnDelayMs = 3000;

    // Takes in all orders that stand, or changes of them; the zones whose order began or ended.
    // `acceptLowerRevision`: a lower revision than before counts too, since the store was restored;
    // else it changes nothing. Preconditions: times do not fall.
    EvacuationChanges apply(const EvacuationChanges& changes, bool acceptLowerRevision,
                            MonoTime now);

    // Whether no request is sent to the zone's upstreams. `listAge`: of the list of upstreams.
    // Preconditions: as above.
    bool isEvacuated(const ZoneId& zone, std::optional<Millis> listAge, MonoTime now) const;

    // The zones whose order stands, and the store's revision that this is as of; 0 before the
    // first. Preconditions: none.
    const std::set<std::string>& zones() const { return m_zones; }
    uint64_t revision() const { return m_revision; }

private:
    std::set<std::string> m_zones;
    std::map<std::string, MonoTime> m_ended;  // When the order of a zone ended last.
    uint64_t m_revision = 0;
};

}  // namespace onyx
