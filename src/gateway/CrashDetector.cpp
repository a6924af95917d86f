#include "include/gateway/CrashDetector.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <utility>

namespace onyx {

namespace beast = boost::beast;

namespace {

// All times in milliseconds.
// Wait before the first probe: an ending process may close its connections before its port.
constexpr Millis kPortCloseDelay = 30;
constexpr Millis kConnectTimeout = 300;  // Of one probe.
constexpr int kMaxProbes = 3;  // A probe that times out is repeated: its packets may be lost.

}  // namespace

void CrashDetector::noteInterruptedAttempt(const Upstream& upstream, InterruptedAttempt attempt) {
    const auto [it, first] = m_pendingProbes.try_emplace(upstream.id, PendingProbe{upstream, {}});
    it->second.attempts.push_back(std::move(attempt));
    if (first) {
        Spawn(m_io.get_executor(), probe(upstream.id));
    }
}

Task<> CrashDetector::probe(std::string upstreamId) {
    co_await SleepFor(kPortCloseDelay);
    const Upstream upstream = m_pendingProbes.at(upstreamId).upstream;
    std::string address = upstream.address;
    const bool refused = co_await refusesConnection(std::move(address));
    const bool restarted = m_records.isSuperseded(upstream.incarnation());
    const PendingProbe ended = std::move(m_pendingProbes.at(upstreamId));
    m_pendingProbes.erase(upstreamId);
    if (refused || restarted) {
        m_onCrash(ended.upstream, ended.attempts);
    }
}

Task<bool> CrashDetector::refusesConnection(std::string address) {
    const Result<Endpoint> peer = ParseEndpoint(address);
    if (peer.has_error()) {
        co_return false;
    }
    const Endpoint& endpoint = peer.value();
    beast::error_code ec = beast::error::timeout;
    for (int i = 0; i < kMaxProbes && ec == beast::error::timeout; ++i) {
        beast::tcp_stream stream(m_io);
        stream.expires_after(std::chrono::milliseconds(kConnectTimeout));
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec == asio::error::connection_refused;
}

}  // namespace onyx
