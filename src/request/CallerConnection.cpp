#include "include/request/CallerConnection.h"

#include "include/net/SocketTools.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadSize = size_t{8} * 1024;  // Bytes of one read.
// Bytes that the parser has not taken, since it wants all of a chunk's header or of the trailers.
constexpr size_t kMaxUnparsed = size_t{64} * 1024;
// Times in milliseconds. For the body of a request: the most that a slow line needs.
constexpr Millis kBodyTimeout = 15000;
// For the caller to read the last answer before the connection is closed.
constexpr Millis kLingerTime = 500;
// A caller whose machine acknowledges nothing for this long is dropped.
constexpr Millis kUserTimeout = 10000;
// The same for another box, which has given the request up by then; and the idle time before its
// machine is probed, and the number of probes, since nothing is sent while an answer is awaited.
constexpr Millis kBoxUserTimeout = 1000;
constexpr Millis kBoxKeepAliveIdle = 1000;
constexpr int kBoxKeepAliveCount = 2;

ReadEnd EndOf(const beast::error_code& ec) {
    const bool large = ec == http::error::body_limit || ec == http::error::header_limit ||
                       ec == http::error::buffer_overflow;
    return large ? ReadEnd::kTooLarge : ReadEnd::kBad;
}

}  // namespace

CallerConnection::CallerConnection(Tcp::socket socket, RequestOrigin origin)
    : m_socket(std::move(socket)), m_origin(origin), m_readDone(m_socket.get_executor()) {
    beast::error_code ec;
    m_socket.set_option(Tcp::no_delay(true), ec);
    // One that takes no option has ended: reading tells.
    if (isFromBox()) {
        SetUserTimeout(m_socket, kBoxUserTimeout);
        StartKeepAlive(m_socket, kBoxKeepAliveIdle, kBoxKeepAliveCount);
    } else {
        SetUserTimeout(m_socket, kUserTimeout);
    }
}

void CallerConnection::startRead() {
    if (m_reading || m_gone) {
        return;
    }
    m_reading = true;
    auto self = shared_from_this();
    m_socket.async_read_some(m_buffer.prepare(kReadSize),
                             [self](const beast::error_code& ec, size_t got) {
                                 self->m_buffer.commit(got);
                                 self->m_reading = false;
                                 self->m_gone = self->m_gone || ec;
                                 self->m_readDone.cancel();
                                 if (ec && self->m_onGone) {
                                     auto onGone = std::move(self->m_onGone);
                                     self->m_onGone = nullptr;
                                     onGone();
                                 }
                             });
}

Task<bool> CallerConnection::readMore(MonoTime until) {
    startRead();
    while (m_reading && ReadClocks().mono < until && !m_waitStopped) {
        // Relative: timers run on another clock, which stands still while the box is suspended.
        m_readDone.expires_after(std::chrono::milliseconds(until - ReadClocks().mono));
        beast::error_code ec;
        co_await m_readDone.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return !m_reading && !m_gone;
}

void CallerConnection::stopWaiting() {
    m_waitStopped = true;
    m_readDone.cancel();
}

void CallerConnection::watch(std::function<void()> onGone) {
    m_onGone = std::move(onGone);
    startRead();
}

Task<bool> CallerConnection::waitForFirstByte(const CallerLimits& limits) {
    const MonoTime until = ReadClocks().mono + limits.idleTimeout;
    while (m_buffer.size() == 0 || m_reading) {
        if (!co_await readMore(until)) {
            co_return m_buffer.size() > 0 && !m_reading;
        }
    }
    co_return true;
}

bool CallerConnection::hasFoldedHeader() const {
    const auto data = m_buffer.data();
    const std::string_view text(static_cast<const char*>(data.data()), data.size());
    const std::string_view head = text.substr(0, text.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

// Feeds what is buffered to the parser; true if the result stands.
bool CallerConnection::parse(Parser& parser, ReadRequest& result) {
    if (!parser.is_header_done() && hasFoldedHeader()) {
        result.end = ReadEnd::kBad;
        result.problem = "folded header line";
        return true;
    }
    beast::error_code ec;
    while (m_buffer.size() > 0 && !parser.is_done()) {
        const size_t used = parser.put(m_buffer.data(), ec);
        m_buffer.consume(used);
        if (ec == http::error::need_more) {
            return false;
        }
        if (ec) {
            result.end = EndOf(ec);
            result.problem = ec.message();
            return true;
        }
    }
    if (parser.is_done()) {
        takeMessage(parser.release(), result);
    }
    return parser.is_done();
}

// A message whose framing callers and upstreams could read differently is no request.
void CallerConnection::takeMessage(CallerMessage message, ReadRequest& result) {
    const bool ambiguous =
        message.count(http::field::content_length) > 1 || message.count(http::field::host) != 1;
    result.end = ambiguous ? ReadEnd::kBad : ReadEnd::kRequest;
    if (ambiguous) {
        result.problem = "expected one Host and at most one Content-Length";
    }
    result.message = std::move(message);
}

Task<ReadRequest> CallerConnection::read(const CallerLimits& limits) {
    ReadRequest result;
    m_onGone = nullptr;
    if (!co_await waitForFirstByte(limits)) {
        co_return result;
    }
    Parser parser;
    parser.eager(true);
    parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    const MonoTime start = ReadClocks().mono;
    while (!parse(parser, result)) {
        const bool head = parser.is_header_done();
        const MonoTime until = start + (head ? kBodyTimeout : limits.headerTimeout);
        if (m_buffer.size() > std::max(kMaxUnparsed, limits.headerBytes)) {
            result.end = ReadEnd::kTooLarge;
            result.problem = "a chunk's header or the trailers are too long";
            co_return result;
        }
        if (!co_await readMore(until)) {
            result.end = m_gone || m_waitStopped ? ReadEnd::kClosed : ReadEnd::kSlow;
            co_return result;
        }
    }
    result.arrived = ReadClocks().mono;
    co_return result;
}

Task<bool> CallerConnection::write(std::string bytes) {
    if (!m_socket.is_open()) {
        co_return false;
    }
    auto self = shared_from_this();
    beast::error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

void CallerConnection::abort() {
    m_onGone = nullptr;
    beast::error_code ec;
    m_socket.close(ec);
}

Task<> CallerConnection::linger() {
    m_onGone = nullptr;
    beast::error_code ec;
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    const MonoTime until = ReadClocks().mono + kLingerTime;
    m_waitStopped = false;
    while (!ec && co_await readMore(until)) {
        m_buffer.consume(m_buffer.size());
    }
    m_socket.close(ec);
}

}  // namespace onyx
