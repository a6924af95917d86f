#include "include/standin/FakeLink.h"

#include "include/net/SocketTools.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <span>

namespace onyx {

namespace {

using boost::system::error_code;

constexpr Millis kCutStep = 20;
constexpr Millis kPiecePause = 1;  // Between two pieces.

}  // namespace

void ReplaceAll(std::span<char> bytes, std::string_view text, std::string_view by) {
    for (auto at = bytes.begin(); at != bytes.end();) {
        at = std::search(at, bytes.end(), text.begin(), text.end());
        at = at == bytes.end() ? at : std::copy(by.begin(), by.end(), at);
    }
}

Result<Endpoint> FakeLink::listen() {
    return listenAt(Endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
}

Result<Endpoint> FakeLink::listenAt(const Endpoint& endpoint) {
    BOOST_OUTCOME_TRY(bind(endpoint));
    m_endpoint = m_acceptor.local_endpoint();
    startListening(asio::socket_base::max_listen_connections);
    return m_endpoint;
}

// A socket that is bound and does not listen keeps its port, and connections to it are refused.
Result<bool> FakeLink::bind(const Endpoint& endpoint) {
    error_code ec;
    m_acceptor.close(ec);
    m_acceptor.open(endpoint.protocol(), ec);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    m_acceptor.bind(endpoint, ec);
    if (ec) {
        return Error{ErrorCode::kUnavailable, "link.listen", EndpointText(endpoint), ec.message()};
    }
    return true;
}

void FakeLink::startListening(int backlog) {
    error_code ec;
    m_acceptor.listen(backlog, ec);
    if (backlog > 0) {
        Spawn(m_io.get_executor(), accept());
    }
}

void FakeLink::setState(LinkState state) {
    m_state = state;
    m_cut = state == LinkState::kHangs;
    m_fillers.clear();
    if (bind(m_endpoint).has_error()) {
        std::abort();
    }
    if (state == LinkState::kOpen) {
        startListening(asio::socket_base::max_listen_connections);
    } else if (state == LinkState::kHangs) {
        startListening(0);
        fillBacklog();
    } else if (state == LinkState::kResets) {
        resetConnections();
    }
}

// The system drops the first packet of a connection while the backlog is full.
void FakeLink::fillBacklog() {
    constexpr int kConnections = 2;
    for (int i = 0; i < kConnections; ++i) {
        Tcp::socket& socket = m_fillers.emplace_back(m_io);
        error_code ec;
        socket.open(m_endpoint.protocol(), ec);
        // Asio's own connect() waits until the connection is up.
        socket.native_non_blocking(true, ec);
        [[maybe_unused]] const int pending = ::connect(socket.native_handle(), m_endpoint.data(),
                                                       static_cast<socklen_t>(m_endpoint.size()));
    }
}

void FakeLink::resetConnections() {
    for (const auto& weak : m_sockets) {
        if (const auto socket = weak.lock()) {
            error_code ec;
            SetResetOnClose(*socket);
            socket->close(ec);
        }
    }
    m_sockets.clear();
}

Task<> FakeLink::accept() {
    while (true) {
        error_code ec;
        Tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor) {
            co_return;
        }
        if (!ec) {
            Spawn(m_io.get_executor(), serve(std::move(socket)));
        }
    }
}

Task<> FakeLink::serve(Tcp::socket from) {
    auto near = std::make_shared<Tcp::socket>(std::move(from));
    auto far = std::make_shared<Tcp::socket>(m_io);
    std::erase_if(m_sockets, [](const auto& socket) { return socket.expired(); });
    m_sockets.push_back(near);
    m_sockets.push_back(far);
    while (m_cut) {
        co_await SleepFor(kCutStep);
    }
    error_code ec;
    co_await far->async_connect(m_to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return;
    }
    near->set_option(Tcp::no_delay(true), ec);
    far->set_option(Tcp::no_delay(true), ec);
    const auto traffic = std::make_shared<Traffic>();
    std::erase_if(m_traffic, [](const auto& other) { return other.expired(); });
    m_traffic.push_back(traffic);
    Spawn(m_io.get_executor(), pump(near, far, traffic, true));
    Spawn(m_io.get_executor(), pump(far, near, traffic, false));
}

void FakeLink::silence(std::string_view text) {
    for (const auto& weak : m_traffic) {
        const auto traffic = weak.lock();
        if (traffic && traffic->forwarded.find(text) != std::string::npos) {
            traffic->isSilent = true;
        }
    }
}

void FakeLink::setReplacement(std::string text, std::string by) {
    m_back = {std::move(text), std::move(by)};
}

void FakeLink::setForwardReplacement(std::string text, std::string by) {
    m_forward = {std::move(text), std::move(by)};
}

Task<> FakeLink::pump(std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to,
                      std::shared_ptr<Traffic> traffic, bool isForward) {
    const Replacement& replacement = isForward ? m_forward : m_back;
    std::array<char, 16384> buffer;
    error_code ec;
    while (!ec) {
        const size_t most = m_pieceBytes > 0 ? m_pieceBytes : buffer.size();
        const size_t got = co_await from->async_read_some(
            asio::buffer(buffer, most), asio::redirect_error(asio::use_awaitable, ec));
        if (m_pieceBytes > 0) {
            co_await SleepFor(kPiecePause);
        }
        if (m_bytesPerMs > 0) {
            co_await SleepFor(static_cast<Millis>(got / m_bytesPerMs));
        }
        if (!replacement.text.empty()) {
            ReplaceAll(std::span(buffer).first(got), replacement.text, replacement.by);
        }
        if (traffic->isSilent) {
            continue;
        }
        if (isForward) {
            traffic->forwarded.assign(buffer.data(), got);
        }
        const bool delivered = co_await hold(*from, got);
        if (!ec && delivered) {
            co_await asio::async_write(*to, asio::buffer(buffer, got),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    if (!traffic->isSilent) {
        error_code ignored;
        to->shutdown(Tcp::socket::shutdown_both, ignored);
    }
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
