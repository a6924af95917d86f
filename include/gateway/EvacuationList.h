// Owns which availability zones are evacuated, and how old that knowledge is. Relies on
// ZoneEvacuations for the rule; the store and other boxes bring the orders.
#pragma once

#include "include/freshness/KnowledgeAge.h"
#include "include/health/ZoneEvacuations.h"
#include "include/observe/Metrics.h"

#include <string_view>

namespace onyx {

// Not thread safe: one io_context.
class EvacuationList {
public:
    // Preconditions: the metrics outlive the list.
    explicit EvacuationList(Metrics& metrics) : m_metrics(metrics) {}

    // Takes in orders and logs what changed. `source`: who has them ("store" or "peer").
    // `allowLowerRevision`: see ZoneEvacuations. Preconditions: times do not fall.
    void apply(const EvacuationChanges& changes, bool allowLowerRevision, std::string_view source,
               MonoTime now);

    // All orders of before `asOf` are known. Preconditions: as KnowledgeAge::confirm().
    void confirm(MonoTime asOf) { m_age.confirm(asOf); }

    // Its age in milliseconds, or nothing before the first confirmation. Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }

    // The orders. Preconditions: none.
    const ZoneEvacuations& orders() const { return m_orders; }

private:
    Metrics& m_metrics;
    ZoneEvacuations m_orders;
    KnowledgeAge m_age;
};

}  // namespace onyx
