#include "include/request/CrashDetector.h"

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
// Other upstreams that are asked whether the network is up.
constexpr size_t kMaxOthers = 3;
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
    std::string id = upstreamId;
    const bool crashed = refused && co_await isNetworkUp(std::move(id));
    const bool restarted = m_records.isSuperseded(upstream.incarnation());
    const PendingProbe ended = std::move(m_pendingProbes.at(upstreamId));
    m_pendingProbes.erase(upstreamId);
    if (crashed || restarted) {
        m_onCrash(ended.upstream, ended.attempts);
    }
}

// Whether another upstream of the service takes a connection, or there is none that could.
Task<bool> CrashDetector::isNetworkUp(std::string upstreamId) {
    const std::vector<std::string> others = otherAddresses(m_pendingProbes.at(upstreamId).upstream);
    for (const std::string& other : others) {
        std::string address = other;
        const beast::error_code ec = co_await connect(std::move(address));
        if (!ec) {
            co_return true;
        }
    }
    const bool isOnlyOne = others.empty();
    co_return isOnlyOne;
}

std::vector<std::string> CrashDetector::otherAddresses(const Upstream& upstream) {
    std::vector<std::string> addresses;
    const uint64_t position = std::uniform_int_distribution<uint64_t>()(m_random);
    m_upstreams.table().visitRing(upstream.service, position,
                                  [&](const UpstreamTable::Entry& entry) {
                                      if (entry.upstream.id != upstream.id) {
                                          addresses.push_back(entry.upstream.address);
                                      }
                                      return addresses.size() < kMaxOthers;
                                  });
    return addresses;
}

Task<bool> CrashDetector::refusesConnection(std::string address) {
    beast::error_code ec = beast::error::timeout;
    for (int i = 0; i < kMaxProbes && ec == beast::error::timeout; ++i) {
        std::string target = address;
        ec = co_await connect(std::move(target));
    }
    co_return ec == asio::error::connection_refused;
}

Task<beast::error_code> CrashDetector::connect(std::string address) {
    const Result<Endpoint> peer = ParseEndpoint(address);
    if (peer.has_error()) {
        co_return beast::error_code(asio::error::invalid_argument);
    }
    const Endpoint& endpoint = peer.value();
    beast::tcp_stream stream(m_io);
    stream.expires_after(std::chrono::milliseconds(kConnectTimeout));
    beast::error_code ec;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

}  // namespace onyx
