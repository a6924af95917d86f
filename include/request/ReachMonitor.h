// Watches whether this box reaches the upstreams of each service. While a service is lost, it opens
// a connection to one of its upstreams from time to time, because the box then sends it no requests
// that would show the end of the loss.
//
// Owns the state of each service and the probes. ServiceReach decides when a service is lost.
#pragma once

#include "include/health/ServiceReach.h"
#include "include/net/Net.h"
#include "include/observe/Metrics.h"
#include "include/state/UpstreamList.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one io_context.
class ReachMonitor {
public:
    // `onChange` is called when a service is lost or reached again. Preconditions: the other
    // arguments outlive the monitor.
    ReachMonitor(asio::io_context& io, const UpstreamList& upstreams, Metrics& metrics,
                 std::function<void(const ServiceId&, bool lost)> onChange);

    // Records that a connection to an upstream was opened. Preconditions: none.
    void noteConnected(const Upstream& upstream);

    // Records that an upstream could not be reached: it took no connection, acknowledged nothing,
    // or ended a connection without an answer. Preconditions: none.
    void noteUnreached(const Upstream& upstream);

    // Whether this box reaches no upstream of `service`. Preconditions: none.
    bool isLost(const ServiceId& service) const { return m_reach.isLost(service); }

    // Whether connections from before may have ended without a word. Preconditions: none.
    bool isInDoubt(const ServiceId& service) const { return m_reach.isInDoubt(service); }

    // All services of which this box reaches no upstream. Preconditions: none.
    std::vector<ServiceId> lost() const { return m_reach.lost(); }

private:
    Task<> probeWhileLost(std::string name);
    Task<bool> takesConnection(std::string address);
    std::string randomAddress(const ServiceId& service);
    void endLoss(const ServiceId& service);
    void noteChange(const ServiceId& service, bool lost, size_t unreached);

    asio::io_context& m_io;
    const UpstreamList& m_upstreams;
    Metrics& m_metrics;
    std::function<void(const ServiceId&, bool lost)> m_onChange;
    ServiceReach m_reach;
    std::minstd_rand m_random{std::random_device{}()};
};

}  // namespace onyx
