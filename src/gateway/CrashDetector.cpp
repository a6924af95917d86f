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
constexpr Millis kSettle = 30;           // Until a process that ends has closed its port too.
constexpr Millis kConnectTimeout = 300;  // Of one look.
constexpr int kLooks = 3;                // The packets of a look may be lost.

}  // namespace

void CrashDetector::attemptBroke(const Upstream& upstream, BrokenAttempt attempt) {
    const auto [it, first] = m_pending.try_emplace(upstream.id, Pending{upstream, {}});
    it->second.attempts.push_back(std::move(attempt));
    if (first) {
        Spawn(m_io.get_executor(), look(upstream.id));
    }
}

Task<> CrashDetector::look(std::string upstreamId) {
    co_await SleepFor(kSettle);
    const Upstream upstream = m_pending.at(upstreamId).upstream;
    std::string address = upstream.address;
    const bool refused = co_await isRefused(std::move(address));
    const bool restarted = m_records.isSuperseded(upstream.incarnation());
    const Pending ended = std::move(m_pending.at(upstreamId));
    m_pending.erase(upstreamId);
    if (refused || restarted) {
        m_onCrash(ended.upstream, ended.attempts);
    }
}

Task<bool> CrashDetector::isRefused(std::string address) {
    const Result<Endpoint> peer = ParseEndpoint(address);
    if (peer.has_error()) {
        co_return false;
    }
    const Endpoint& endpoint = peer.value();
    beast::error_code ec = beast::error::timeout;
    for (int i = 0; i < kLooks && ec == beast::error::timeout; ++i) {
        beast::tcp_stream stream(m_io);
        stream.expires_after(std::chrono::milliseconds(kConnectTimeout));
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec == asio::error::connection_refused;
}

}  // namespace onyx
