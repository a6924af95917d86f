// Decides which availability zones get no requests because the operators are evacuating them.
//
// An evacuation order holds until the operators withdraw it. A zone whose order was withdrawn may
// contain cold upstreams, and the upstream list that marks them as cold may arrive a little later
// than the withdrawal. So the zone stays excluded until this box has an upstream list that is newer
// than the withdrawal, but for at most kMaxReturnDelayMs.
//
// Inputs: the orders as received from the store or from other boxes, with the store's revision; the
// age of the upstream list; times in milliseconds.
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

// The changes of the evacuation orders up to a revision of the store.
struct EvacuationChanges {
    bool whole = false;  // `begun` lists all orders in force, not changes.
    uint64_t revision = 0;
    std::vector<std::string> begun;  // Names of zones.
    std::vector<std::string> ended;
};

// Thread safety: none; one task owns it.
class ZoneEvacuations {
public:
    // Longest time in milliseconds that a zone stays excluded after its order was withdrawn. It is
    // bounded because the store may not answer, and the zone's upstreams warm up in the meantime.
    static constexpr Millis kMaxReturnDelayMs = 3000;

    // Applies all orders in force, or changes of them. Returns the zones whose order began or
    // ended. A revision lower than the current one is ignored, unless `acceptLowerRevision` is set
    // because the store was restored.
    // Preconditions: `now` never decreases between calls.
    EvacuationChanges applyChanges(const EvacuationChanges& changes, bool acceptLowerRevision,
                                   MonoTime now);

    // Returns whether no request may be sent to the zone's upstreams. `listAge`: age of the
    // upstream list in milliseconds; nullopt: there is no list yet.
    // Preconditions: `now` never decreases between calls.
    bool isEvacuated(const ZoneId& zone, std::optional<Millis> listAge, MonoTime now) const;

    // Return the zones whose order is in force, and the revision of the store that this reflects; 0
    // before the first update. Preconditions: none.
    const std::set<std::string>& zones() const { return m_zones; }
    uint64_t revision() const { return m_revision; }

private:
    std::set<std::string> m_zones;
    std::map<std::string, MonoTime> m_ended;  // When the last order of a zone ended.
    uint64_t m_revision = 0;
};

}  // namespace onyx
