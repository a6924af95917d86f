// The software versions of a service's listed upstreams, and which of them may get requests without
// an order.
//
// A new version may be listed before this box knows the order that puts it on trial, because the
// store's lists reach a box one after the other. So a version that appears beside another one gets
// no requests until the box has orders from after its appearance, but for at most kMaxHoldMs: some
// releases change the version without an order.
//
// Inputs: the upstreams' versions, states and start times; the age of the list of orders. Times in
// milliseconds.
#pragma once

#include "include/routing/UpstreamTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class VersionCensus {
public:
    // Longest time in milliseconds that a version is held back for want of recent orders.
    static constexpr Millis kMaxHoldMs = 3000;

    // The upstreams of one version of a service.
    struct Version {
        std::vector<std::string> ready;  // Ids of the upstreams that take requests, ascending.
        MonoTime seen;                   // When the version was first listed.
        int64_t earliestStart = 0;       // Unix time in milliseconds; 0: unknown.
    };
    using Versions = std::map<std::string, Version>;  // By version.

    // Counts the upstreams of `table` anew. A version that stays listed keeps its time `seen`.
    // Preconditions: `now` does not decrease between calls.
    void update(const UpstreamTable& table, MonoTime now);

    // Returns the versions of a service, or nullptr if it has only one. Preconditions: none.
    const Versions* versionsOf(const ServiceId& service) const;

    // Returns the versions of a service that are held back. `ordersAge`: age of the list of orders
    // in milliseconds, empty if there is none yet. Preconditions: as for update().
    std::set<std::string> heldBack(const ServiceId& service, std::optional<Millis> ordersAge,
                                   MonoTime now) const;

private:
    std::map<ServiceId, Versions> m_services;
};

}  // namespace onyx
