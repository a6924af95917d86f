// Socket options as the system carries them out, on connections over the loopback interface.
#include "include/net/SocketTools.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace onyx;

namespace {

// Two ends of one connection.
struct SocketPair {
    explicit SocketPair(asio::io_context& io) : near(io), far(io) {
        Tcp::acceptor acceptor(io, Endpoint(asio::ip::address_v4::loopback(), 0));
        near.connect(acceptor.local_endpoint());
        acceptor.accept(far);
    }

    Tcp::socket near;
    Tcp::socket far;
};

// What the far end sees once the near one has ended the connection.
SocketPeek EndSeenBy(Tcp::socket& far) {
    SocketPeek seen = SocketPeek::kQuiet;
    while (seen == SocketPeek::kQuiet) {
        seen = PeekSocket(far);
    }
    return seen;
}

}  // namespace

TEST_CASE("Bytes that the peer's system has not taken are counted, and no others") {
    asio::io_context io;
    SocketPair pair(io);
    CHECK(UnacknowledgedBytes(pair.near) == size_t{0});
    // More than both systems' buffers hold, so that some of it waits on this side.
    const std::string much(size_t{32} * 1024 * 1024, 'x');
    pair.near.non_blocking(true);
    boost::system::error_code ec;
    size_t written = 0;
    while (!ec) {
        written += pair.near.write_some(asio::buffer(much), ec);
    }
    const auto waiting = UnacknowledgedBytes(pair.near);
    REQUIRE(waiting.has_value());
    CHECK(*waiting > 0);
    CHECK(*waiting <= written);
    pair.near.close();
    CHECK_FALSE(UnacknowledgedBytes(pair.near).has_value());
}

TEST_CASE("A connection that is to be reset is reset by closing") {
    asio::io_context io;
    SocketPair pair(io);
    SetResetOnClose(pair.near);
    pair.near.close();
    CHECK(EndSeenBy(pair.far) == SocketPeek::kReset);
}

// Asio alone takes the option off when a socket is destroyed; the streams of Beast, which all
// connections to upstreams are, close theirs first.
TEST_CASE("A stream that is to be reset is reset by destruction too") {
    asio::io_context io;
    SocketPair pair(io);
    auto stream = std::make_unique<boost::beast::tcp_stream>(std::move(pair.near));
    SetResetOnClose(stream->socket());
    stream.reset();
    CHECK(EndSeenBy(pair.far) == SocketPeek::kReset);
}

TEST_CASE("A connection without that option ends in order") {
    asio::io_context io;
    SocketPair pair(io);
    pair.near.close();
    CHECK(EndSeenBy(pair.far) == SocketPeek::kEnded);
}
