#include "include/net/SocketTools.h"

#include <boost/asio/buffer.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace onyx {

namespace {

template <int Level, int Name>
void SetOption(Tcp::socket& socket, int value) {
    boost::system::error_code ec;
    const asio::detail::socket_option::integer<Level, Name> option(value);
    socket.set_option(option, ec);
}

}  // namespace

void SetUserTimeout(Tcp::socket& socket, Millis timeout) {
    SetOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, static_cast<int>(timeout));
}

void SetKeepAlive(Tcp::socket& socket, Millis idle, int count) {
    const int seconds = static_cast<int>(idle / 1000);
    SetOption<SOL_SOCKET, SO_KEEPALIVE>(socket, 1);
    SetOption<IPPROTO_TCP, TCP_KEEPIDLE>(socket, seconds);
    SetOption<IPPROTO_TCP, TCP_KEEPINTVL>(socket, seconds);
    SetOption<IPPROTO_TCP, TCP_KEEPCNT>(socket, count);
}

void SetResetOnClose(Tcp::socket& socket) {
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
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
