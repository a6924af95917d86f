// Owns the operators' rollout orders with their statuses, and the age of this list. StoreController
// and PeerSync apply the orders of the store and of other boxes.
#pragma once

#include "include/freshness/StateAge.h"
#include "include/observe/Metrics.h"
#include "include/rollout/RolloutOrder.h"

#include <map>
#include <string_view>

namespace onyx {

// Not thread safe: one io_context.
class RolloutList {
public:
    // Preconditions: the metrics outlive the list.
    explicit RolloutList(Metrics& metrics) : m_metrics(metrics) {}

    // Applies orders and logs those that changed. `source`: their origin for the log ("store" or
    // "peer"). `acceptLowerRevision`: orders of a lower revision than the current one apply too,
    // because the store was restored; otherwise they change nothing.
    // Preconditions: none.
    void apply(const RolloutChanges& changes, bool acceptLowerRevision, std::string_view source);

    // Records that the list includes all orders made before `asOf`. Preconditions: as for
    // StateAge::confirm().
    void confirm(MonoTime asOf) { m_age.confirm(asOf); }

    // The age of the list in milliseconds, or nothing before the first confirmation.
    // Preconditions: none.
    std::optional<Millis> age(MonoTime now) const { return m_age.age(now); }

    // All orders, and the revision of the store that they reflect; 0 before the first update.
    // Preconditions: none.
    const std::map<ServiceId, RolloutOrder>& orders() const { return m_orders; }
    uint64_t revision() const { return m_revision; }

private:
    void put(const RolloutOrder& order, std::string_view source);
    void remove(const ServiceId& service, std::string_view source);

    Metrics& m_metrics;
    std::map<ServiceId, RolloutOrder> m_orders;
    uint64_t m_revision = 0;
    StateAge m_age;
};

}  // namespace onyx
