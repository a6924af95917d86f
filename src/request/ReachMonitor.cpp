#include "include/request/ReachMonitor.h"

#include "include/observe/Events.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kProbePeriod = 300;   // Between the probes of a lost service.
constexpr Millis kProbeTimeout = 300;  // Of one probe.

}  // namespace

ReachMonitor::ReachMonitor(asio::io_context& io, const UpstreamList& upstreams, Metrics& metrics,
                           std::function<void(const ServiceId&, bool lost)> onChange)
    : m_io(io), m_upstreams(upstreams), m_metrics(metrics), m_onChange(std::move(onChange)) {}

void ReachMonitor::noteConnected(const Upstream& upstream) {
    endLoss(upstream.service);
}

void ReachMonitor::noteUnreached(const Upstream& upstream) {
    const ServiceId& service = upstream.service;
    const size_t upstreams = m_upstreams.table().count(service);
    const MonoTime now = ReadClocks().mono;
    if (upstreams == 0 || !m_reach.noteUnreached(service, upstream.id, upstreams, now)) {
        return;
    }
    noteChange(service, true, m_reach.unreached(service));
    std::string name = service.value;
    Spawn(m_io.get_executor(), probeWhileLost(std::move(name)));
}

void ReachMonitor::endLoss(const ServiceId& service) {
    if (m_reach.noteConnected(service)) {
        noteChange(service, false, 0);
    }
}

Task<> ReachMonitor::probeWhileLost(std::string name) {
    const ServiceId service(name);
    while (m_reach.isLost(service)) {
        std::string address = randomAddress(service);
        const bool reached = co_await takesConnection(std::move(address));
        if (reached) {
            endLoss(service);
        }
        co_await SleepFor(kProbePeriod);
    }
}

// A service without upstreams cannot be probed; it is lost no more, since there is nothing to
// reach.
Task<bool> ReachMonitor::takesConnection(std::string address) {
    const Result<Endpoint> peer = ParseEndpoint(address);
    if (peer.has_error()) {
        co_return true;
    }
    boost::beast::tcp_stream stream(m_io);
    stream.expires_after(std::chrono::milliseconds(kProbeTimeout));
    const Endpoint& endpoint = peer.value();
    boost::beast::error_code ec;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

std::string ReachMonitor::randomAddress(const ServiceId& service) {
    std::string address;
    m_upstreams.table().visitRing(service, std::uniform_int_distribution<uint64_t>()(m_random),
                                  [&](const UpstreamTable::Entry& entry) {
                                      address = entry.upstream.address;
                                      return false;
                                  });
    return address;
}

void ReachMonitor::noteChange(const ServiceId& service, bool lost, size_t unreached) {
    logEvent(Event::kServiceReach, {{"service", service.value},
                                    {"state", lost ? "lost" : "reached"},
                                    {"unreached", std::to_string(unreached)}});
    m_metrics.set("onyx_services_lost", {}, static_cast<double>(m_reach.lost().size()));
    m_onChange(service, lost);
}

}  // namespace onyx
