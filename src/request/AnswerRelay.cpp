#include "include/request/AnswerRelay.h"

#include "include/base/HttpStatus.h"
#include "include/request/HttpText.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <utility>

namespace onyx {

namespace http = boost::beast::http;

namespace {

// Larger answers are passed on in pieces, since they would fill a box's memory.
constexpr size_t kWholeAnswerBytes = size_t{256} * 1024;

// Whether a status tells a caller that the request did not run. An upstream that ran it may use
// them all the same; then they must not reach the caller.
bool PromisesNotRun(http::status status) {
    return status == http::status::request_timeout || status == http::status::misdirected_request ||
           status == http::status::too_many_requests || status == http::status::service_unavailable;
}

// What the head of an answer says of the attempt.
AttemptEnd JudgeHead(const UpstreamExchange& exchange) {
    const UpstreamFacts& facts = exchange.facts();
    if (facts.misdirected) {
        return AttemptEnd::kMisdirected;
    }
    if (facts.declined) {
        return AttemptEnd::kDeclined;
    }
    if (PromisesNotRun(exchange.head().result()) || !facts.authentic) {
        return AttemptEnd::kUnclear;
    }
    const bool failed = exchange.head().result_int() >= HttpStatus::kFirstServerError;
    return failed ? AttemptEnd::kFailed : AttemptEnd::kAnswered;
}

// An answer's headers without those that concern one connection only.
HttpFields PassedFields(const ResponseHead& head) {
    HttpFields fields(head);
    DropConnectionHeaders(fields);
    return fields;
}

}  // namespace

Task<RelayEnd> AnswerRelay::relay(UpstreamExchange& exchange, bool stream, MonoTime until,
                                  const ReadDeadlines& deadlines) {
    const AttemptEnd judged = JudgeHead(exchange);
    const auto kind = http::to_status_class(exchange.head().result());
    const bool large = exchange.length().value_or(0) > kWholeAnswerBytes;
    const bool events = stream && kind == http::status_class::successful;
    if (judged == AttemptEnd::kAnswered && (events || large)) {
        co_return co_await relayPieces(exchange, deadlines);
    }
    const MonoTime bodyUntil = std::max(until, deadlines.next());
    co_return co_await relayWhole(exchange, judged, bodyUntil);
}

// Reads the answer to its end and keeps it as text; it is delivered when it is known to be the
// last word.
Task<RelayEnd> AnswerRelay::relayWhole(UpstreamExchange& exchange, AttemptEnd judged,
                                       MonoTime until) {
    std::string body;
    std::string piece;
    while (true) {
        const AnswerRead end = co_await exchange.read(piece, until);
        if (end == AnswerRead::kComplete) {
            break;
        }
        if (end != AnswerRead::kPart) {
            const bool ranNot =
                judged == AttemptEnd::kDeclined || judged == AttemptEnd::kMisdirected;
            co_return RelayEnd{ranNot ? judged : AttemptEnd::kUnclear, end == AnswerRead::kTimeout};
        }
        body += piece;
    }
    if (judged == AttemptEnd::kAnswered || judged == AttemptEnd::kFailed) {
        m_status = exchange.head().result_int();
        const HttpFields fields = PassedFields(exchange.head());
        m_wholeAnswer = AnswerText(exchange.head(), fields, body, m_lifecycle.draining());
    }
    co_return RelayEnd{judged, false};
}

// Passes a stream on, event by event. Only whole events go to the caller, each once.
Task<RelayEnd> AnswerRelay::relayPieces(UpstreamExchange& exchange,
                                        const ReadDeadlines& deadlines) {
    const std::string_view type = exchange.head()[http::field::content_type];
    const bool events = type.starts_with("text/event-stream");
    EventStream stream;
    std::string piece;
    while (true) {
        const MonoTime until = m_headSent ? deadlines.next() : deadlines.first();
        const AnswerRead end = co_await exchange.read(piece, until);
        if (end == AnswerRead::kComplete && stream.incomplete().empty()) {
            const bool begun = m_headSent || co_await sendHead(exchange.head());
            co_return RelayEnd{begun ? AttemptEnd::kAnswered : AttemptEnd::kStreamBroken, false};
        }
        if (end != AnswerRead::kPart) {
            co_return RelayEnd{m_headSent ? AttemptEnd::kStreamBroken : AttemptEnd::kUnclear,
                               end == AnswerRead::kTimeout};
        }
        if (!events) {
            noteBegun();
        }
        const std::string out = events ? newEvents(stream, piece) : std::move(piece);
        if (!out.empty() && !co_await pass(exchange.head(), out)) {
            co_return RelayEnd{AttemptEnd::kStreamBroken, false};
        }
    }
}

std::string AnswerRelay::newEvents(EventStream& stream, std::string_view bytes) {
    std::string out;
    for (const StreamEvent& event : stream.feed(bytes)) {
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent) {
            continue;
        }
        if (event.id || event.hasData) {
            noteBegun();
        }
        m_lastEvent = event.id ? event.id : m_lastEvent;
        out += event.bytes;
    }
    return out;
}

void AnswerRelay::noteBegun() {
    if (const auto handler = std::exchange(m_onBegin, nullptr)) {
        handler();
    }
}

Task<bool> AnswerRelay::pass(const ResponseHead& head, std::string_view bytes) {
    if (!m_headSent && !co_await sendHead(head)) {
        co_return false;
    }
    std::string chunk = ChunkText(bytes);
    co_return co_await m_caller.write(std::move(chunk));
}

Task<bool> AnswerRelay::sendHead(const ResponseHead& head) {
    m_headSent = true;
    m_firstByteAt = ReadClocks().mono;
    m_status = head.result_int();
    const HttpFields fields = PassedFields(head);
    std::string text = ChunkedHeadText(head, fields, m_lifecycle.draining());
    co_return co_await m_caller.write(std::move(text));
}

Task<bool> AnswerRelay::finish() {
    m_firstByteAt = m_firstByteAt.value_or(ReadClocks().mono);
    std::string text = m_headSent ? std::string(kLastChunk) : std::move(m_wholeAnswer);
    co_return co_await m_caller.write(std::move(text));
}

}  // namespace onyx
