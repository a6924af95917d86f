// Owns connections to upstreams that are idle between requests. Who takes one owns it until it is
// given back; whether it has ended is looked at when it is taken.
#pragma once

#include "include/net/Net.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace onyx {

// One connection. Whoever took it owns it alone.
struct UpstreamConnection {
    // Bytes that are read ahead of the parser, which wants all of a head, of a chunk's header or of
    // the trailers at once.
    static constexpr size_t kMaxBuffered = size_t{16} * 1024;

    explicit UpstreamConnection(const asio::any_io_executor& executor) : stream(executor) {}

    uint64_t number = 0;  // Unlike that of any other connection of this pool.
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{kMaxBuffered};
    MonoTime lastUsed;
    Millis keepAlive = 0;  // The upstream closes it after idle so long; 0: it does not say.
};

// Not thread safe: one io_context.
class UpstreamPool {
public:
    // Kept to one upstream.
    static constexpr size_t kMaxIdlePerUpstream = 8;

    explicit UpstreamPool(asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    // The newest kept connection that was idle for at most `maxIdle`, has nothing to read and is
    // none of those that `except` names by number, or nullptr. Preconditions: none.
    std::shared_ptr<UpstreamConnection> take(const std::string& upstream, Millis maxIdle,
                                             MonoTime now, std::span<const uint64_t> except);

    // A new connection, not yet open. Preconditions: none.
    std::shared_ptr<UpstreamConnection> create();

    // Keeps a connection whose last answer was read to its end. Preconditions: nothing of an
    // answer is due on it.
    void keep(const std::string& upstream, std::shared_ptr<UpstreamConnection> connection,
              MonoTime now);

    // Closes what is kept to an upstream that leaves or is gone. Preconditions: none.
    void drop(const std::string& upstream) { m_idle.erase(upstream); }

    // Closes connections that idle for longer than `maxIdle`. Preconditions: none.
    void trim(Millis maxIdle, MonoTime now);

private:
    asio::any_io_executor m_executor;
    uint64_t m_lastNumber = 0;  // Of a connection.
    std::map<std::string, std::deque<std::shared_ptr<UpstreamConnection>>> m_idle;
};

}  // namespace onyx
