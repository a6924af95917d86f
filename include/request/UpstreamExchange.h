// One attempt's exchange with its upstream: a connection, the request, the answer. Says how each
// step ended; what that means is decided by others.
//
// Owns the connection while it is in use. Relies on UpstreamPool for kept ones and on the dialect
// for the head of the answer.
#pragma once

#include "include/relay/AttemptBounds.h"
#include "include/request/ConnectionReport.h"
#include "include/request/RequestBody.h"
#include "include/request/RequestContext.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace onyx {

// What is written to an upstream. The body is shared with the request, and held until it is
// written.
struct OutgoingRequest {
    std::string head;
    std::shared_ptr<const RequestBody> body;
};

// How reading a part of an answer ended.
enum class AnswerRead : uint8_t {
    kPart,       // What was asked for: the head, or a piece of the body.
    kComplete,   // The body has ended.
    kCancelled,  // cancel() was called.
    kTimeout,
    kBroken,  // The connection ended, or what came is no answer.
};

// Not thread safe: one io_context, one task; cancel() may come from another task of it. Held by
// shared_ptr, since a write may outlive the task that waits for the answer.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
public:
    // Preconditions: the context outlives the exchange.
    UpstreamExchange(RequestContext& context, Upstream upstream, std::string requestId);

    // Takes a kept connection that was idle for at most `maxIdle`, or opens one. `used`: the
    // numbers of the connections that carried this request before. The answer that came there may
    // come a second time, under the same id, so none of them carries the request again.
    // Errors: kUnavailable, kTimeout; nothing was sent then. Preconditions: called once; `used`
    // outlives the call.
    Task<Result<bool>> connect(Millis maxIdle, const ConnectionBounds& bounds,
                               std::span<const uint64_t> used);

    // Uses a connection that is open, in place of connect(). It is not kept afterwards.
    // Errors: kUnavailable if it has ended. Preconditions: called once.
    Result<bool> adopt(Tcp::socket socket, const ConnectionBounds& bounds);

    // Sends `message` and reads the head of the answer that carries this request's id. A few other
    // answers, which nobody waits for any more, are passed over.
    // Preconditions: connect() succeeded; called once.
    Task<AnswerRead> send(OutgoingRequest message, AnswerWait wait);

    // Reads more of the body into `piece`. A body that ends with its connection is complete once
    // the request is written. Preconditions: send() ended with kPart.
    Task<AnswerRead> read(std::string& piece, AnswerWait wait);

    // Sets what is asked, every kSilenceCheckPeriod, while the upstream is silent for longer than
    // an AnswerWait says; once it returns true, the wait ends with kTimeout. Until it is set, and
    // after finish(), none is asked. Preconditions: none.
    void setSilenceRule(std::function<bool()> mayGiveUp) { m_mayGiveUp = std::move(mayGiveUp); }

    // Whether the answer's body has not been read to its end. Preconditions: none.
    bool hasRest() const;

    // Reads the rest of the body and drops it, up to a bound on its size. Returns kComplete, or why
    // it did not come to its end; kPart: it is too large. Preconditions: send() ended with kPart.
    Task<AnswerRead> skipBody(MonoTime until);

    // Gives up: the connection is reset, so that the upstream sees it, and gets no bytes that are
    // still on their way to it. Preconditions: none.
    void cancel();

    // Keeps the connection for another request if nothing more is due on it, else closes it.
    // Preconditions: none.
    void finish();

    // Head of the answer. Preconditions: send() ended with kPart.
    const ResponseHead& head() const { return m_parser->get().base(); }
    const UpstreamFacts& facts() const { return m_facts; }
    const Upstream& upstream() const { return m_upstream; }
    // Whether the upstream's machine stopped taking bytes or answering keep-alive probes: the
    // network is cut, whatever became of the request. Preconditions: none.
    bool unreachable() const { return m_unreachable; }
    // Whether connect() opened the connection. Preconditions: connect() succeeded.
    bool isNewConnection() const { return !m_report.kept; }
    // What the connection was and how it ended. Preconditions: finish() was called.
    const ConnectionReport& connection() const { return m_report; }
    // The length of the answer's body, if its head has it. Preconditions: as for head().
    std::optional<uint64_t> length() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    // Sets the socket's options. Errors: kUnavailable.
    Result<bool> prepareSocket();
    bool takeKept(Millis maxIdle, std::span<const uint64_t> used);
    void openNew();
    void write(OutgoingRequest message);
    void awaitDelivery();
    void startKeepAlive();
    bool isClean() const;
    bool keep();
    Task<AnswerRead> readHead(AnswerWait wait);
    // Begins or ends a wait for bytes of the upstream.
    void beginWait(AnswerWait wait);
    void endWait(const boost::system::error_code& ec);
    void checkSilenceAt(MonoTime at);
    void onSilence(MonoTime due);
    Task<AnswerRead> endWithConnection(MonoTime until);
    AnswerRead endOf(const boost::system::error_code& ec);
    bool isOurs() const;
    void noteEnd(ConnectionEnd end);

    RequestContext& m_context;
    Upstream m_upstream;
    std::string m_requestId;
    ConnectionBounds m_bounds;
    std::shared_ptr<UpstreamConnection> m_connection;
    asio::steady_timer m_delivery;    // Looks whether the request is delivered.
    asio::steady_timer m_writeEnded;  // Cancelled when the request is written, or cannot be.
    asio::steady_timer m_silence;     // Looks whether an attempt at a silent upstream is given up.
    std::function<bool()> m_mayGiveUp;
    uint64_t m_waits = 0;   // So far; odd while one is under way.
    bool m_gaveUp = false;  // The wait under way is to end.
    std::unique_ptr<Parser> m_parser;
    UpstreamFacts m_facts;
    ConnectionReport m_report;
    // How the write of the request ended; nothing while it is under way.
    std::optional<boost::system::error_code> m_writeEnd;
    bool m_cancelled = false;
    bool m_spoiled = false;  // Something unexpected came on the connection.
    bool m_unreachable = false;
    int m_lateReads = 0;         // Reads of the body after the time for them.
    bool m_keepAliveOn = false;  // Keep-alive probes are sent.
};

}  // namespace onyx
