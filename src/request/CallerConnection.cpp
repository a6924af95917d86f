#include "include/request/CallerConnection.h"

#include "include/net/SocketTools.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadSize = size_t{8} * 1024;  // Bytes of one read.
// Bytes that the parser has not taken, since it wants all of a chunk's header or of the trailers.
constexpr size_t kMaxUnparsed = size_t{64} * 1024;
// Receive buffer of a connection that brings a large body, in bytes, at most; and the part of the
// body that it may hold.
constexpr size_t kMaxWideReceive = size_t{64} * 1024;
constexpr size_t kWideReceiveDivisor = 8;
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

}  // namespace

CallerConnection::CallerConnection(Tcp::socket socket, std::shared_ptr<RequestMemory> memory,
                                   RequestOrigin origin)
    : m_socket(std::move(socket)),
      m_memory(std::move(memory)),
      m_origin(origin),
      m_arrived(kReadSize, '\0'),
      m_readDone(m_socket.get_executor()) {
    enter(CallerPhase::kReading);
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

void CallerConnection::enter(CallerPhase phase) {
    m_activity.phase = phase;
    m_activity.since = ReadClocks().mono;
}

void CallerConnection::startRead() {
    if (m_reading || m_gone) {
        return;
    }
    m_reading = true;
    auto self = shared_from_this();
    m_socket.async_read_some(
        asio::buffer(m_arrived), [self](const beast::error_code& ec, size_t got) {
            asio::buffer_copy(self->m_buffer.prepare(got), asio::buffer(self->m_arrived, got));
            self->m_buffer.commit(got);
            self->m_reading = false;
            self->m_gone = self->m_gone || ec;
            self->m_readDone.cancel();
            if (ec) {
                self->callWatcher();
            }
        });
}

// Whether no more of a request is waited for, whatever the time.
bool CallerConnection::isWaitOver() const {
    if (!m_waitStopped || m_evicted) {
        return m_evicted;
    }
    if (m_parser) {
        return m_parser->hasHead();
    }
    beast::error_code ec;
    return m_socket.available(ec) == 0;
}

Task<bool> CallerConnection::readMore(MonoTime until) {
    startRead();
    while (m_reading && ReadClocks().mono < until && !isWaitOver()) {
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

void CallerConnection::callWatcher() {
    if (const auto onGone = std::exchange(m_onGone, nullptr)) {
        onGone();
    }
}

void CallerConnection::endRequest() {
    m_requestEnded = true;
    callWatcher();
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

Task<ReadEnd> CallerConnection::read(CallerLimits limits) {
    m_onGone = nullptr;
    m_requestEnded = false;
    m_parser.reset();
    trimBuffer();
    resetReceiveBuffer();
    enter(CallerPhase::kReading);
    const bool came = co_await waitForFirstByte(limits);
    if (!came) {
        co_return ReadEnd::kClosed;
    }
    m_parser.emplace(limits, m_memory, evictHandler());
    m_maxUnparsed = std::max(kMaxUnparsed, limits.headerBytes);
    m_headUntil = ReadClocks().mono + limits.headerTimeout;
    m_bodyUntil = ReadClocks().mono + kBodyTimeout;
    const ReadEnd end = co_await readOn();
    co_return end;
}

Task<ReadEnd> CallerConnection::readOn() {
    while (!m_evicted) {
        enter(CallerPhase::kReading);
        m_isTaking = true;
        const auto end = m_parser->parse(m_buffer, m_activity.since);
        m_isTaking = false;
        if (m_evicted) {
            break;
        }
        if (end) {
            enter(CallerPhase::kWorking);
            co_return *end;
        }
        if (m_buffer.size() > m_maxUnparsed) {
            co_return ReadEnd::kTooLarge;
        }
        if (!growBuffer()) {
            break;
        }
        const size_t before = m_buffer.size();
        const MonoTime until = m_parser->hasHead() ? m_bodyUntil : m_headUntil;
        const bool came = co_await readMore(until);
        if (!came) {
            co_return endWithoutBytes();
        }
        if (m_bufferShare) {
            m_bufferShare.noteProgress(m_buffer.size() - before, ReadClocks().mono);
        }
    }
    dropBuffer();
    co_return ReadEnd::kNoMemory;
}

ReadEnd CallerConnection::endWithoutBytes() const {
    if (m_evicted) {
        return ReadEnd::kNoMemory;
    }
    return m_gone || isWaitOver() ? ReadEnd::kClosed : ReadEnd::kSlow;
}

ReadRequest CallerConnection::takeRequest(ReadEnd end) {
    ReadRequest request;
    request.end = end;
    request.arrived = ReadClocks().mono;
    if (end == ReadEnd::kRequest) {
        request.message = m_parser->head();
        request.body = m_parser->takeBody();
        // What was read ahead stays until the next request; this one must not end for it.
        if (m_bufferShare) {
            m_bufferShare.noteWhole();
        }
    } else if (m_parser) {
        request.problem = m_parser->problem();
    }
    if (request.problem.empty() && end == ReadEnd::kTooLarge) {
        request.problem = "a chunk's header or the trailers are too long";
    }
    m_parser.reset();
    return request;
}

std::optional<ReadRequest> CallerConnection::headOnly() const {
    if (!m_parser || !m_parser->hasHead()) {
        return std::nullopt;
    }
    ReadRequest request;
    request.message = m_parser->head();
    request.arrived = ReadClocks().mono;
    return request;
}

// Takes memory for a read that makes the buffer larger than one read needs.
bool CallerConnection::growBuffer() {
    const size_t size = m_buffer.size();
    const bool grows = !m_reading && size + kReadSize > m_buffer.capacity();
    const size_t capacity =
        grows ? std::max(2 * size, size + kReadSize) : m_buffer.capacity();  // As flat_buffer does.
    const size_t held = capacity - std::min(capacity, kReadSize);
    if (held <= m_bufferHeld) {
        return true;
    }
    const MonoTime now = ReadClocks().mono;
    if (!m_bufferShare) {
        m_bufferShare = MemoryShare(m_memory, now, evictHandler());
    }
    m_isTaking = true;
    const bool taken = m_bufferShare.take(held - m_bufferHeld, now);
    m_isTaking = false;
    m_bufferHeld = taken ? held : m_bufferHeld;
    return taken && !m_evicted;
}

// What the next request finds in the buffer is taken anew, as its own.
void CallerConnection::trimBuffer() {
    m_bufferShare.reset();
    m_bufferHeld = 0;
    if (m_buffer.size() == 0 && m_buffer.capacity() > kReadSize) {
        m_buffer.shrink_to_fit();
    }
}

// A connection whose request is given up stays open until its answer is read.
void CallerConnection::dropBuffer() {
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_bufferShare.reset();
    m_bufferHeld = 0;
}

// In proportion to the body, so that what lies unread stays a small part of what it takes.
void CallerConnection::widenReceiveBuffer() {
    const size_t wide = std::min(kMaxWideReceive, m_parser->announced() / kWideReceiveDivisor);
    const size_t usual = ReceiveBufferSize(m_socket);
    if (wide > usual && !SetReceiveBufferSize(m_socket, wide)) {
        m_usualReceive = usual;
    }
}

void CallerConnection::resetReceiveBuffer() {
    if (m_usualReceive > 0) {
        SetReceiveBufferSize(m_socket, std::exchange(m_usualReceive, 0));
    }
}

std::function<void()> CallerConnection::evictHandler() {
    return [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->evict();
        }
    };
}

// Without a body there is nothing but the buffer, which is released with the connection. What a
// request takes for one of its shares may evict the other: it ends once the taking has returned.
void CallerConnection::evict() {
    m_evicted = true;
    if (m_isTaking) {
        return;
    }
    dropBuffer();
    if (m_parser && m_parser->hasBody()) {
        m_parser->dropBody();
        m_readDone.cancel();
    } else {
        abort();
    }
}

Task<bool> CallerConnection::write(std::string bytes) {
    if (!m_socket.is_open()) {
        co_return false;
    }
    auto self = shared_from_this();
    enter(CallerPhase::kWriting);
    beast::error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    enter(CallerPhase::kWorking);
    m_activity.wasServed = m_activity.wasServed || !ec;
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
    enter(CallerPhase::kEnding);
    const MonoTime until = m_activity.since + kLingerTime;
    m_parser.reset();
    dropBuffer();
    m_waitStopped = false;
    m_evicted = false;
    while (!ec && co_await readMore(until)) {
        m_buffer.consume(m_buffer.size());
    }
    m_socket.close(ec);
}

}  // namespace onyx
