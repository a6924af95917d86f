// Decides whether this box has lost the network to the upstreams of a service. One upstream that
// cannot be reached is that upstream's fault; several in a row, with no new connection to any other
// one of the service in between, are the fault of this box's network.
//
// Inputs: the results of attempts to connect, and of connections that ended without an answer. An
// answer on an older connection is none: such connections may live on while new ones fail. A
// decision that was wrong ends with the first connection that can be opened.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace onyx {

// Thread safety: none; one task owns it.
class ServiceReach {
public:
    // Upstreams of a service that must be out of reach, or all of them if there are fewer.
    static constexpr size_t kMinUnreached = 3;
    // Failures count for this many milliseconds.
    static constexpr Millis kRetention = 5000;

    // Records that `upstream`, one of `upstreams` of `service`, could not be reached. Returns true
    // if the service is lost from now on. Preconditions: upstreams > 0; `now` never decreases
    // between calls.
    bool noteUnreached(const ServiceId& service, const std::string& upstream, size_t upstreams,
                       MonoTime now);

    // Records that a connection to an upstream of `service` was opened. Returns true if the service
    // was lost until now. Preconditions: none.
    bool noteConnected(const ServiceId& service);

    // Returns whether the network to the upstreams of `service` is lost. Preconditions: none.
    bool isLost(const ServiceId& service) const;

    // Returns whether connections to upstreams of `service` have failed since the last one was
    // opened, so that connections from before are in doubt. Preconditions: none.
    bool isInDoubt(const ServiceId& service) const { return unreached(service) > 0; }

    // Returns all lost services. Preconditions: none.
    std::vector<ServiceId> lost() const;

    // Returns the number of upstreams of `service` that are recorded as out of reach.
    // Preconditions: none.
    size_t unreached(const ServiceId& service) const;

private:
    struct Record {
        std::map<std::string, MonoTime> unreached;  // By upstream: its last failure.
        bool lost = false;
    };

    std::map<ServiceId, Record> m_records;
};

}  // namespace onyx
