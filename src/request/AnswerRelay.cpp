#include "include/request/AnswerRelay.h"

#include "include/relay/AnswerHeadRule.h"
#include "include/request/HttpText.h"

#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <utility>

namespace onyx {

namespace http = boost::beast::http;

namespace {

AnswerHead HeadOf(const UpstreamExchange& exchange) {
    const ResponseHead& head = exchange.head();
    const UpstreamFacts& facts = exchange.facts();
    const std::string_view type = head[http::field::content_type];
    return {head.result_int(),
            facts.declined,
            facts.misdirected,
            facts.authentic,
            type.starts_with("text/event-stream"),
            exchange.length()};
}

// An answer's headers without those that concern one connection only.
HttpFields PassedFields(const ResponseHead& head) {
    HttpFields fields(head);
    DropConnectionHeaders(fields);
    return fields;
}

}  // namespace

Task<RelayEnd> AnswerRelay::relay(UpstreamExchange& exchange, const RelayRules& rules,
                                  MonoTime silentUntil, const ReadDeadlines& deadlines) {
    const HeadVerdict verdict = JudgeAnswerHead(HeadOf(exchange), rules.inPieces, headSent());
    // What an earlier attempt brought is not the last word any more.
    m_wholeAnswer = std::string();
    m_body.clear();
    switch (verdict.use) {
        case BodyUse::kEvents:
            co_return co_await relayEvents(exchange, deadlines);
        case BodyUse::kPieces: {
            std::string begun;
            co_return co_await relayPieces(exchange, verdict.end, std::move(begun), deadlines);
        }
        case BodyUse::kWhole: {
            co_return co_await relayWhole(exchange, verdict.end, rules, silentUntil, deadlines);
        }
        case BodyUse::kDiscard:
            break;
    }
    co_return RelayEnd{verdict.end, false};
}

// Reads the answer to its end and keeps it as text; it is delivered when it is known to be the
// last word. One that is too large to be kept is passed on at once, unless it is a failure after
// which another upstream may try.
Task<RelayEnd> AnswerRelay::relayWhole(UpstreamExchange& exchange, AttemptEnd judged,
                                       const RelayRules& rules, MonoTime silentUntil,
                                       const ReadDeadlines& deadlines) {
    std::string piece;
    while (true) {
        const AnswerWait wait{deadlines.end, std::max(silentUntil, deadlines.next())};
        const AnswerRead end = co_await exchange.read(piece, wait);
        if (end == AnswerRead::kComplete) {
            break;
        }
        if (end != AnswerRead::kPart) {
            co_return RelayEnd{AttemptEnd::kUnclear, end == AnswerRead::kTimeout};
        }
        if (m_body.append(piece)) {
            continue;
        }
        if (judged == AttemptEnd::kFailed && !rules.isLastAttempt) {
            m_body.clear();
            co_return RelayEnd{AttemptEnd::kUnclear, false};
        }
        std::string begun = m_body.take() + piece;
        co_return co_await relayPieces(exchange, judged, std::move(begun), deadlines);
    }
    m_wholeStatus = exchange.head().result_int();
    const HttpFields fields = PassedFields(exchange.head());
    m_saidClose = m_lifecycle.draining();
    m_wholeAnswer = AnswerText(exchange.head(), fields, m_body.take(), m_saidClose);
    co_return RelayEnd{judged, false};
}

// Passes a stream on, event by event. Only whole events go to the caller, each once.
Task<RelayEnd> AnswerRelay::relayEvents(UpstreamExchange& exchange,
                                        const ReadDeadlines& deadlines) {
    m_events.beginAttempt();
    EventStream stream;
    std::string piece;
    while (true) {
        const AnswerRead end = co_await exchange.read(piece, waitOf(deadlines));
        if (end == AnswerRead::kComplete && stream.isBetweenEvents()) {
            const bool begun = headSent() || co_await sendHead(exchange.head(), Delivered::kEvents);
            co_return RelayEnd{begun ? AttemptEnd::kAnswered : AttemptEnd::kStreamBroken, false};
        }
        if (end != AnswerRead::kPart) {
            co_return RelayEnd{headSent() ? AttemptEnd::kStreamBroken : AttemptEnd::kUnclear,
                               end == AnswerRead::kTimeout};
        }
        const NewEvents fresh = newEvents(stream, piece);
        if (!fresh.bytes.empty() &&
            !co_await pass(exchange.head(), Delivered::kEvents, fresh.bytes)) {
            co_return RelayEnd{AttemptEnd::kStreamBroken, false};
        }
        if (fresh.outOfOrder) {
            co_return RelayEnd{headSent() ? AttemptEnd::kStreamBroken : AttemptEnd::kUnclear,
                               false};
        }
    }
}

// Passes a body on as it arrives. None of it can come from another upstream.
Task<RelayEnd> AnswerRelay::relayPieces(UpstreamExchange& exchange, AttemptEnd judged,
                                        std::string begun, const ReadDeadlines& deadlines) {
    std::string piece = std::move(begun);
    AnswerRead end = AnswerRead::kPart;
    while (end == AnswerRead::kPart) {
        if (!piece.empty()) {
            if (judged == AttemptEnd::kAnswered) {
                noteBegun();
            }
            if (!co_await pass(exchange.head(), Delivered::kBody, piece)) {
                co_return RelayEnd{AttemptEnd::kStreamBroken, false};
            }
            // What was collected counts until a caller that reads slowly has taken it.
            m_body.clear();
        }
        end = co_await exchange.read(piece, waitOf(deadlines));
    }
    if (end != AnswerRead::kComplete) {
        co_return RelayEnd{headSent() ? AttemptEnd::kStreamBroken : AttemptEnd::kUnclear,
                           end == AnswerRead::kTimeout};
    }
    m_callerHasAll = headSent() || co_await sendHead(exchange.head(), Delivered::kBody);
    co_return RelayEnd{m_callerHasAll ? judged : AttemptEnd::kStreamBroken, false};
}

AnswerRelay::NewEvents AnswerRelay::newEvents(EventStream& stream, std::string_view bytes) {
    NewEvents fresh;
    for (const StreamEvent& event : stream.feed(bytes)) {
        switch (m_events.take(event)) {
            case EventUse::kDeliver:
                break;
            case EventUse::kDuplicate:
                continue;
            case EventUse::kOutOfOrder:
                fresh.outOfOrder = true;
                return fresh;
        }
        if (event.id || event.hasData) {
            noteBegun();
        }
        fresh.bytes += event.bytes;
    }
    return fresh;
}

void AnswerRelay::noteBegun() {
    if (const auto handler = std::exchange(m_onBegin, nullptr)) {
        handler();
    }
}

Task<bool> AnswerRelay::pass(const ResponseHead& head, Delivered kind, std::string_view bytes) {
    if (!headSent() && !co_await sendHead(head, kind)) {
        co_return false;
    }
    std::string chunk = ChunkText(bytes);
    co_return co_await m_caller.write(std::move(chunk));
}

Task<bool> AnswerRelay::sendHead(const ResponseHead& head, Delivered kind) {
    m_delivered = kind;
    m_firstByteAt = ReadClocks().mono;
    m_status = head.result_int();
    const HttpFields fields = PassedFields(head);
    m_saidClose = m_lifecycle.draining();
    std::string text = ChunkedHeadText(head, fields, m_saidClose);
    co_return co_await m_caller.write(std::move(text));
}

Task<bool> AnswerRelay::finish() {
    m_firstByteAt = m_firstByteAt.value_or(ReadClocks().mono);
    m_status = lastWordStatus();
    std::string text = headSent() ? std::string(kLastChunk) : std::move(m_wholeAnswer);
    co_return co_await m_caller.write(std::move(text));
}

}  // namespace onyx
