// Owns the list of evacuated availability zones and its age. Relies on ZoneEvacuations for the
// rules. StoreController and PeerSync apply the evacuation orders of the store and of other boxes.
#pragma once

#include "include/freshness/StateAge.h"
#include "include/health/ZoneEvacuations.h"
#include "include/observe/Metrics.h"

#include <string_view>

namespace onyx {

// Not thread safe: one io_context.
class EvacuationList {
public:
    // Preconditions: the metrics outlive the list.
    explicit EvacuationList(Metrics& metrics) : m_metrics(metrics) {}

    // Applies evacuation orders and logs the zones that changed. `source`: the origin of the orders
    // for the log ("store" or "peer"). `acceptLowerRevision`: orders of a lower revision than the
    // current one apply too, because the store was restored; otherwise they change nothing.
    // Preconditions: `now` never decreases between calls.
    void apply(const EvacuationChanges& changes, bool acceptLowerRevision, std::string_view source,
               MonoTime now);

    // Records that the list includes all orders made before `asOf`. Preconditions: as for
    // StateAge::confirm().
    void confirm(MonoTime asOf) { m_age.confirm(asOf); }

    // The age of the list in milliseconds, or nothing before the first confirmation.
    // Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }

    // The current evacuation orders. Preconditions: none.
    const ZoneEvacuations& orders() const { return m_orders; }

private:
    Metrics& m_metrics;
    ZoneEvacuations m_orders;
    StateAge m_age;
};

}  // namespace onyx
