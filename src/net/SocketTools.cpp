#include "include/net/SocketTools.h"

#include <boost/asio/buffer.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace onyx {

namespace {

using boost::system::error_code;

template <int Level, int Name>
error_code SetOption(Tcp::socket& socket, int value) {
    error_code ec;
    const asio::detail::socket_option::integer<Level, Name> option(value);
    socket.set_option(option, ec);
    return ec;
}

}  // namespace

error_code SetUserTimeout(Tcp::socket& socket, Millis timeout) {
    return SetOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, static_cast<int>(timeout));
}

error_code StartKeepAlive(Tcp::socket& socket, Millis idle, int count) {
    const int seconds = static_cast<int>(idle / 1000);
    error_code ec = SetOption<IPPROTO_TCP, TCP_KEEPIDLE>(socket, seconds);
    if (!ec) {
        ec = SetOption<IPPROTO_TCP, TCP_KEEPINTVL>(socket, seconds);
    }
    if (!ec) {
        ec = SetOption<IPPROTO_TCP, TCP_KEEPCNT>(socket, count);
    }
    return ec ? ec : SetOption<SOL_SOCKET, SO_KEEPALIVE>(socket, 1);
}

error_code StopKeepAlive(Tcp::socket& socket) {
    return SetOption<SOL_SOCKET, SO_KEEPALIVE>(socket, 0);
}

error_code SetResetOnClose(Tcp::socket& socket, bool reset) {
    error_code ec;
    socket.set_option(asio::socket_base::linger(reset, 0), ec);
    return ec;
}

size_t ReceiveBufferSize(Tcp::socket& socket) {
    constexpr int kSystemFactor = 2;  // The system tells twice what was set.
    error_code ec;
    asio::socket_base::receive_buffer_size size;
    socket.get_option(size, ec);
    return ec ? 0 : static_cast<size_t>(size.value() / kSystemFactor);
}

error_code SetReceiveBufferSize(Tcp::socket& socket, size_t bytes) {
    const auto size = static_cast<int>(bytes);
    error_code ec;
    socket.set_option(asio::socket_base::receive_buffer_size(size), ec);
    return ec ? ec : SetOption<IPPROTO_TCP, TCP_WINDOW_CLAMP>(socket, size);
}

std::optional<size_t> UnacknowledgedBytes(Tcp::socket& socket) {
    int bytes = 0;
    if (!socket.is_open() || ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) {
        return std::nullopt;
    }
    return static_cast<size_t>(bytes);
}

SocketPeek PeekSocket(Tcp::socket& socket) {
    boost::system::error_code ec;
    // Through Asio, not natively: its synchronous receive waits unless Asio knows.
    socket.non_blocking(true, ec);
    char byte = 0;
    const size_t got = socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        return SocketPeek::kQuiet;
    }
    if (ec == asio::error::connection_reset) {
        return SocketPeek::kReset;
    }
    return ec || got == 0 ? SocketPeek::kEnded : SocketPeek::kReadable;
}

}  // namespace onyx
