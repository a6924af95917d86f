#include "include/request/UpstreamExchange.h"

#include "include/base/HttpStatus.h"
#include "include/net/AnswerForm.h"
#include "include/net/SocketTools.h"
#include "include/observe/Events.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <limits>

namespace onyx {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kPieceSize = size_t{16} * 1024;  // Bytes of one read of a body.
// Reads of a body, of kPieceSize at most, after the time for it.
constexpr int kMaxLateReads = 16;
// Answers that are passed over while one is awaited, interim ones among them, and the bytes of a
// body that is dropped. An upstream that sends more is not waited for.
constexpr int kMaxOtherAnswers = 16;
constexpr size_t kMaxSkippedBytes = size_t{256} * 1024;

// Whether the bytes that came are no answer. The peer has not ended the connection then.
bool IsMalformed(const beast::error_code& ec) {
    const beast::error_code httpError = http::error::bad_version;
    return ec.category() == httpError.category() && ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

std::chrono::milliseconds Left(MonoTime until) {
    const Millis left = until - ReadClocks().mono;
    return std::chrono::milliseconds(std::max<Millis>(1, left));
}

}  // namespace

UpstreamExchange::UpstreamExchange(RequestContext& context, Upstream upstream,
                                   std::string requestId)
    : m_context(context),
      m_upstream(std::move(upstream)),
      m_requestId(std::move(requestId)),
      m_delivery(context.io),
      m_writeEnded(context.io, asio::steady_timer::time_point::max()),
      m_silence(context.io) {}

Task<Result<bool>> UpstreamExchange::connect(Millis maxIdle, const ConnectionBounds& bounds,
                                             std::span<const uint64_t> used) {
    m_bounds = bounds;
    if (takeKept(maxIdle, used)) {
        co_return true;
    }
    const Result<Endpoint> peer = ParseEndpoint(m_upstream.address);
    if (peer.has_error()) {
        co_return peer.error();
    }
    openNew();
    m_context.log.connecting();
    auto& stream = m_connection->stream;
    stream.expires_after(std::chrono::milliseconds(bounds.connect));
    const Endpoint& endpoint = peer.value();
    beast::error_code ec;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || m_cancelled) {
        const bool late = ec == beast::error::timeout;
        co_return Error{late ? ErrorCode::kTimeout : ErrorCode::kUnavailable, "upstream.connect",
                        m_upstream.address, ec.message()};
    }
    co_return prepareSocket();
}

Result<bool> UpstreamExchange::adopt(Tcp::socket socket, const ConnectionBounds& bounds) {
    m_bounds = bounds;
    openNew();
    m_connection->stream.socket() = std::move(socket);
    return prepareSocket();
}

void UpstreamExchange::openNew() {
    m_connection = m_context.records.pool().create();
    m_report.number = m_connection->number;
}

bool UpstreamExchange::takeKept(Millis maxIdle, std::span<const uint64_t> used) {
    const MonoTime now = ReadClocks().mono;
    m_connection = m_context.records.pool().take(m_upstream.id, maxIdle, now, used);
    if (!m_connection) {
        return false;
    }
    const auto ec = SetUserTimeout(m_connection->stream.socket(), m_bounds.unacknowledged);
    if (ec) {
        // It has ended: another is opened.
        logEvent(Event::kConnectionDropped,
                 {{"request", m_requestId}, {"upstream", m_upstream.id}, {"why", ec.message()}});
        m_connection.reset();
        return false;
    }
    m_report.kept = true;
    m_report.number = m_connection->number;
    m_report.idle = now - m_connection->lastUsed;
    return true;
}

Result<bool> UpstreamExchange::prepareSocket() {
    Tcp::socket& socket = m_connection->stream.socket();
    beast::error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    if (!ec) {
        ec = SetUserTimeout(socket, m_bounds.unacknowledged);
    }
    // The network to an upstream may be cut: a request that is given up on here would otherwise
    // still be delivered, and run, when it is mended.
    if (!ec) {
        ec = SetResetOnClose(socket);
    }
    if (ec) {
        return Error{ErrorCode::kUnavailable, "upstream.options", m_upstream.address, ec.message()};
    }
    return true;
}

// Only a reset of this box takes back what is on its way: of a connection that keep-alive probes
// end, the system forgets its part, and what was written may be delivered seconds later, when a cut
// is mended and the request has long run elsewhere. So none are sent while a connection is idle,
// for it may be taken at any moment, nor until the upstream's machine has the whole request: the
// bound on unacknowledged bytes watches that time.
void UpstreamExchange::awaitDelivery() {
    m_delivery.expires_after(std::chrono::milliseconds(m_bounds.unacknowledged));
    m_delivery.async_wait([self = shared_from_this()](const beast::error_code& ec) {
        if (ec || !self->m_connection) {
            return;
        }
        if (UnacknowledgedBytes(self->m_connection->stream.socket()).value_or(0) > 0) {
            self->awaitDelivery();
        } else {
            self->startKeepAlive();
        }
    });
}

void UpstreamExchange::startKeepAlive() {
    Tcp::socket& socket = m_connection->stream.socket();
    // A connection that takes no option has ended, which the pending read finds.
    m_keepAliveOn = !StartKeepAlive(socket, kKeepAliveIdle, kKeepAliveCount);
}

void UpstreamExchange::write(OutgoingRequest message) {
    auto self = shared_from_this();
    auto connection = m_connection;
    auto held = std::make_shared<const OutgoingRequest>(std::move(message));
    std::vector<asio::const_buffer> bytes = {asio::buffer(held->head)};
    for (const std::string_view piece : held->body->pieces()) {
        bytes.push_back(asio::buffer(piece));
    }
    asio::async_write(connection->stream, bytes,
                      [self, connection, held](const beast::error_code& ec, size_t) {
                          self->m_writeEnd = ec;
                          self->m_writeEnded.cancel();
                      });
}

// The system cancels nothing that has completed, and a read is made of several: one that has not
// ended by the next look is cancelled again.
void UpstreamExchange::checkSilenceAt(MonoTime at) {
    m_silence.expires_after(Left(at));
    const auto check = [self = shared_from_this(), wait = m_waits,
                        at](const beast::error_code& ec) {
        if (!ec && wait == self->m_waits) {
            self->onSilence(at);
        }
    };
    m_silence.async_wait(check);
}

// A box that stood still has not listened: what lies unread, or comes within another period, shows
// that the upstream is not silent.
void UpstreamExchange::onSilence(MonoTime due) {
    if (!m_connection || !m_mayGiveUp) {
        return;
    }
    const MonoTime now = ReadClocks().mono;
    beast::error_code ec;
    const bool hasListened =
        now - due <= kSilenceCheckPeriod && m_connection->stream.socket().available(ec) == 0;
    m_gaveUp = m_gaveUp || (hasListened && m_mayGiveUp());
    if (m_gaveUp) {
        m_connection->stream.cancel();
    }
    checkSilenceAt(now + kSilenceCheckPeriod);
}

void UpstreamExchange::beginWait(AnswerWait wait) {
    m_connection->stream.expires_after(Left(wait.until));
    ++m_waits;
    if (m_mayGiveUp && wait.silentUntil < wait.until) {
        checkSilenceAt(wait.silentUntil);
    }
}

// Bytes that came at the last moment show that the upstream is not silent.
void UpstreamExchange::endWait(const beast::error_code& ec) {
    ++m_waits;
    m_silence.cancel();
    m_gaveUp = m_gaveUp && ec;
}

Task<AnswerRead> UpstreamExchange::send(OutgoingRequest message, AnswerWait wait) {
    if (m_cancelled) {
        co_return AnswerRead::kCancelled;
    }
    m_connection->stream.expires_after(Left(wait.until));
    write(std::move(message));
    awaitDelivery();
    for (int passedOver = 0; passedOver < kMaxOtherAnswers; ++passedOver) {
        const AnswerRead end = co_await readHead(wait);
        if (end != AnswerRead::kPart || isOurs()) {
            co_return end;
        }
        if (head().result_int() < HttpStatus::kFirstFinal) {
            continue;  // An interim answer, which has no body.
        }
        m_spoiled = true;
        logEvent(Event::kAnswerCrossed,
                 {{"request", m_requestId}, {"upstream", m_upstream.id}, {"answers", m_facts.id}});
        const AnswerRead skipped = co_await skipBody(wait.until);
        if (skipped != AnswerRead::kComplete) {
            co_return skipped == AnswerRead::kTimeout ? AnswerRead::kTimeout : AnswerRead::kBroken;
        }
    }
    m_spoiled = true;
    noteEnd(ConnectionEnd::kReset);
    co_return AnswerRead::kBroken;
}

// An answer names the request that it belongs to; one that declines may name none.
bool UpstreamExchange::isOurs() const {
    if (head().result_int() < HttpStatus::kFirstFinal) {
        return false;
    }
    return m_facts.id == m_requestId || (m_facts.id.empty() && m_facts.declined && !m_report.kept);
}

Task<AnswerRead> UpstreamExchange::readHead(AnswerWait wait) {
    m_parser = std::make_unique<Parser>();
    m_parser->body_limit(std::numeric_limits<uint64_t>::max());
    auto& connection = *m_connection;
    beginWait(wait);
    beast::error_code ec;
    co_await http::async_read_header(connection.stream, connection.buffer, *m_parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    endWait(ec);
    if (ec || m_cancelled) {
        co_return endOf(ec);
    }
    if (!IsAnswerHead(head())) {
        m_spoiled = true;
        noteEnd(ConnectionEnd::kReset);
        co_return AnswerRead::kBroken;
    }
    m_facts = m_context.dialect.readUpstream(head());
    co_return AnswerRead::kPart;
}

// What a read that failed says of the answer, and of the network to the upstream.
AnswerRead UpstreamExchange::endOf(const beast::error_code& ec) {
    if (m_cancelled) {
        return AnswerRead::kCancelled;
    }
    m_spoiled = true;
    // The system's own word, from ConnectionBounds or keep-alive probes; Beast's is another. The
    // system may have said it to the write.
    m_unreachable = ec == asio::error::timed_out || m_writeEnd == asio::error::timed_out;
    const bool late = ec == beast::error::timeout || m_gaveUp;
    const bool byUs = late || IsMalformed(ec);
    noteEnd(m_unreachable ? ConnectionEnd::kSystem
            : byUs        ? ConnectionEnd::kReset
                          : ConnectionEnd::kPeer);
    return late ? AnswerRead::kTimeout : AnswerRead::kBroken;
}

Task<AnswerRead> UpstreamExchange::skipBody(MonoTime until) {
    std::string piece;
    size_t skipped = 0;
    while (true) {
        const AnswerRead end = co_await read(piece, {until, until});
        skipped += piece.size();
        if (end != AnswerRead::kPart || skipped > kMaxSkippedBytes) {
            co_return end;
        }
    }
}

bool UpstreamExchange::hasRest() const {
    return m_connection && !m_cancelled && !m_spoiled && m_parser && m_parser->is_header_done() &&
           !m_parser->is_done();
}

Task<AnswerRead> UpstreamExchange::read(std::string& piece, AnswerWait wait) {
    piece.clear();
    while (!m_parser->is_done()) {
        // What has arrived is read also late, but not for as long as more of it arrives.
        if (ReadClocks().mono > wait.until && ++m_lateReads > kMaxLateReads) {
            co_return endOf(beast::error::timeout);
        }
        piece.resize(kPieceSize);
        auto& body = m_parser->get().body();
        body.data = piece.data();
        body.size = piece.size();
        auto& connection = *m_connection;
        beginWait(wait);
        beast::error_code ec;
        co_await http::async_read_some(connection.stream, connection.buffer, *m_parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        ec = ec == http::error::need_buffer ? beast::error_code() : ec;  // The piece is full.
        endWait(ec);
        if (m_cancelled || ec) {
            co_return endOf(ec);
        }
        piece.resize(piece.size() - body.size);
        if (!piece.empty()) {
            co_return AnswerRead::kPart;
        }
    }
    if (m_parser->need_eof()) {
        co_return co_await endWithConnection(wait.until);
    }
    co_return AnswerRead::kComplete;
}

// The end of an answer that ends with its connection. The system reports a reset, or a time-out of
// its own, once: if the write takes the report, the read sees an orderly end.
Task<AnswerRead> UpstreamExchange::endWithConnection(MonoTime until) {
    while (!m_writeEnd && !m_cancelled && ReadClocks().mono < until) {
        m_writeEnded.expires_after(Left(until));
        beast::error_code ec;
        co_await m_writeEnded.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const beast::error_code ec = m_writeEnd.value_or(beast::error::timeout);
    if (m_cancelled || ec) {
        co_return endOf(ec);
    }
    co_return AnswerRead::kComplete;
}

std::optional<uint64_t> UpstreamExchange::length() const {
    const auto length = m_parser->content_length();
    return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

// The first end counts: a connection that has ended is closed afterwards too.
void UpstreamExchange::noteEnd(ConnectionEnd end) {
    if (m_report.end != ConnectionEnd::kNone) {
        return;
    }
    m_report.end = end;
    // The system's account of a connection that it or the peer has ended is gone.
    if (end == ConnectionEnd::kReset) {
        m_report.unacknowledged = UnacknowledgedBytes(m_connection->stream.socket());
    }
}

void UpstreamExchange::cancel() {
    m_cancelled = true;
    if (m_connection) {
        noteEnd(ConnectionEnd::kReset);
        m_connection->stream.close();
    }
}

bool UpstreamExchange::isClean() const {
    const bool isWritten = m_writeEnd && !*m_writeEnd;
    return !m_cancelled && !m_spoiled && isWritten && m_parser && m_parser->is_done() &&
           !m_parser->need_eof() && m_parser->get().keep_alive() &&
           m_connection->buffer.size() == 0;
}

// Gives the connection to the pool; false if it is not fit for that.
bool UpstreamExchange::keep() {
    const Upstream* upstream = m_context.upstreams.table().find(m_upstream.id);
    const bool gone = upstream == nullptr || upstream->startedMs != m_upstream.startedMs;
    if (!isClean() || gone || upstream->draining || m_facts.leaving) {
        return false;
    }
    if (m_keepAliveOn && StopKeepAlive(m_connection->stream.socket())) {
        return false;
    }
    m_connection->keepAlive = m_facts.keepAlive.value_or(0);
    m_context.records.pool().keep(m_upstream.id, std::move(m_connection), ReadClocks().mono);
    return true;
}

void UpstreamExchange::finish() {
    m_delivery.cancel();
    m_silence.cancel();
    m_mayGiveUp = nullptr;
    if (!m_connection) {
        return;
    }
    if (!keep()) {
        noteEnd(ConnectionEnd::kReset);
        m_connection->stream.close();
    }
    m_connection.reset();
}

}  // namespace onyx
