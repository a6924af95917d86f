#include "include/standin/FakeLink.h"

#include "include/net/SocketTools.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace onyx {

namespace {

using boost::system::error_code;

constexpr Millis kCutStep = 20;

}  // namespace

Result<Endpoint> FakeLink::listen() {
    error_code ec;
    const Endpoint any(asio::ip::make_address_v4("127.0.0.1"), 0);
    Tcp::acceptor acceptor(m_io);
    acceptor.open(any.protocol(), ec);
    acceptor.bind(any, ec);
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return Error{ErrorCode::kUnavailable, "link.listen", EndpointText(any), ec.message()};
    }
    const Endpoint endpoint = acceptor.local_endpoint();
    Spawn(m_io.get_executor(), accept(std::move(acceptor)));
    return endpoint;
}

Task<> FakeLink::accept(Tcp::acceptor acceptor) {
    while (true) {
        error_code ec;
        Tcp::socket socket =
            co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            Spawn(m_io.get_executor(), serve(std::move(socket)));
        }
    }
}

Task<> FakeLink::serve(Tcp::socket from) {
    auto near = std::make_shared<Tcp::socket>(std::move(from));
    auto far = std::make_shared<Tcp::socket>(m_io);
    while (m_cut) {
        co_await SleepFor(kCutStep);
    }
    error_code ec;
    co_await far->async_connect(m_to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return;
    }
    Spawn(m_io.get_executor(), pump(near, far));
    Spawn(m_io.get_executor(), pump(far, near));
}

Task<> FakeLink::pump(std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to) {
    std::array<char, 16384> buffer;
    error_code ec;
    while (!ec) {
        const size_t got = co_await from->async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        const bool delivered = co_await hold(*from, got);
        if (!ec && delivered) {
            co_await asio::async_write(*to, asio::buffer(buffer, got),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    error_code ignored;
    to->shutdown(Tcp::socket::shutdown_both, ignored);
}

// Waits for the mend of a cut; false if the sender of what is held has reset its connection.
Task<bool> FakeLink::hold(Tcp::socket& from, size_t bytes) {
    if (!m_cut) {
        co_return true;
    }
    m_held += bytes;
    while (m_cut) {
        co_await SleepFor(kCutStep);
    }
    m_held -= bytes;
    const bool reset = PeekSocket(from) == SocketPeek::kReset;
    m_lost += reset ? bytes : 0;
    co_return !reset;
}

}  // namespace onyx
