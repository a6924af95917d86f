#include "include/state/UpstreamPool.h"

#include "include/net/SocketTools.h"

#include <algorithm>

namespace onyx {

namespace {

// An upstream closes an idle connection at a time of its own: not used within this much of it.
constexpr Millis kKeepAliveMargin = 500;  // Longer than any way there.

// Whether nothing came on an idle connection: neither its end nor bytes that nobody asked for.
bool IsQuiet(UpstreamConnection& connection) {
    return connection.buffer.size() == 0 &&
           PeekSocket(connection.stream.socket()) == SocketPeek::kQuiet;
}

bool IdleTooLong(const UpstreamConnection& connection, Millis maxIdle, MonoTime now) {
    const Millis own = connection.keepAlive > 0
                           ? std::min(maxIdle, connection.keepAlive - kKeepAliveMargin)
                           : maxIdle;
    return now - connection.lastUsed > own;
}

}  // namespace

std::shared_ptr<UpstreamConnection> UpstreamPool::create() {
    auto connection = std::make_shared<UpstreamConnection>(m_executor);
    connection->number = ++m_lastNumber;
    return connection;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::take(const std::string& upstream, Millis maxIdle,
                                                       MonoTime now,
                                                       std::span<const uint64_t> except) {
    const auto it = m_idle.find(upstream);
    if (it == m_idle.end()) {
        return nullptr;
    }
    auto& idle = it->second;
    for (size_t left = idle.size(); left > 0; --left) {
        const auto newest = idle.begin() + static_cast<std::ptrdiff_t>(left - 1);
        if (IdleTooLong(**newest, maxIdle, now)) {
            return nullptr;  // The others were idle for longer.
        }
        if (std::find(except.begin(), except.end(), (*newest)->number) != except.end()) {
            continue;
        }
        std::shared_ptr<UpstreamConnection> taken = std::move(*newest);
        idle.erase(newest);
        if (IsQuiet(*taken)) {
            return taken;
        }
    }
    return nullptr;
}

void UpstreamPool::keep(const std::string& upstream, std::shared_ptr<UpstreamConnection> connection,
                        MonoTime now) {
    connection->lastUsed = now;
    connection->stream.expires_never();
    auto& idle = m_idle[upstream];
    idle.push_back(std::move(connection));
    if (idle.size() > kMaxIdlePerUpstream) {
        idle.pop_front();
    }
}

void UpstreamPool::trim(Millis maxIdle, MonoTime now) {
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& idle = it->second;
        while (!idle.empty() && IdleTooLong(*idle.front(), maxIdle, now)) {
            idle.pop_front();
        }
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

}  // namespace onyx
