// Passes an upstream's answer on to a caller: small ones whole, once they are known to be the last
// word; larger ones as they arrive; streams event by event, each event once, over all the upstreams
// that a request goes to. What it holds of an answer is bounded, whatever the upstream sends.
//
// Owns what the caller has of the answer. Relies on EventStream for cutting, on Lifecycle for
// whether the connection is to close after it.
#pragma once

#include "include/lifecycle/Drain.h"
#include "include/relay/DeliveredEvents.h"
#include "include/relay/EventStream.h"
#include "include/relay/RequestAttempts.h"
#include "include/request/CallerConnection.h"
#include "include/request/CollectedBody.h"
#include "include/request/UpstreamExchange.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace onyx {

// How passing on one upstream's answer ended.
struct RelayEnd {
    AttemptEnd end = AttemptEnd::kUnclear;
    bool timedOut = false;
};

// Until when the next bytes are waited for. The upstream counts as silent from `first` on while the
// caller has nothing of the answer, and later from `next` on; asked anew before each read.
struct ReadDeadlines {
    MonoTime end;
    std::function<MonoTime()> first;
    std::function<MonoTime()> next;
};

// What an answer may become, by its request.
struct RelayRules {
    bool inPieces = false;  // A good answer is passed on as it arrives.
    // No other attempt may follow, so that a failure is passed on whatever its size.
    bool isLastAttempt = false;
};

// One for each request. Not thread safe: one io_context, one task.
class AnswerRelay {
public:
    // `lastEvent`: the caller has the events up to this one. Preconditions: `memory` is not null;
    // the references outlive the relay.
    AnswerRelay(const Lifecycle& lifecycle, std::shared_ptr<AnswerMemory> memory,
                CallerConnection& caller, std::optional<uint64_t> lastEvent)
        : m_lifecycle(lifecycle),
          m_caller(caller),
          m_events(lastEvent),
          m_body(std::move(memory)) {}

    // Sets what is called once, before the first event of the answer, or the first bytes of one
    // that is no stream of events, go to the caller; a head or comments alone do not count.
    // Preconditions: none.
    void setBeginHandler(std::function<void()> handler) { m_onBegin = std::move(handler); }

    // Reads the answer whose head `exchange` has, and passes on what may be, by AnswerHeadRule.
    // `silentUntil`: a whole answer is not late before. Preconditions: the exchange read a head.
    Task<RelayEnd> relay(UpstreamExchange& exchange, const RelayRules& rules, MonoTime silentUntil,
                         const ReadDeadlines& deadlines);

    // Sends what is left: the end of a stream, or the whole answer that was kept last.
    // False if the caller is gone. Preconditions: relay() ended with kAnswered or kFailed.
    Task<bool> finish();

    // Whether the caller has the head of an answer. Preconditions: none.
    bool headSent() const { return m_delivered != Delivered::kNothing; }
    // Whether another upstream may continue what the caller has: an event stream whose place is
    // known. Preconditions: none.
    bool mayContinue() const {
        return m_delivered == Delivered::kEvents && m_events.isPlaceKnown();
    }
    // Whether the caller has an answer to its end, which was passed on in pieces.
    // Preconditions: none.
    bool callerHasAll() const { return m_callerHasAll; }
    // Events up to this one are with the caller. Preconditions: none.
    std::optional<uint64_t> lastEvent() const { return m_events.lastEvent(); }
    // When the first byte of an answer went to the caller, if one did. Preconditions: none.
    std::optional<MonoTime> firstByteAt() const { return m_firstByteAt; }
    // Status that the caller has received, 0 if none. Preconditions: none.
    unsigned status() const { return m_status; }
    // Whether the answer's head says that the connection closes after it.
    // Preconditions: as for finish().
    bool saidClose() const { return m_saidClose; }
    // Status of the answer that finish() ends or sends. Preconditions: as for finish().
    unsigned lastWordStatus() const { return headSent() ? m_status : m_wholeStatus; }

private:
    // What the caller has of an answer.
    enum class Delivered : uint8_t {
        kNothing,
        kEvents,  // The head of an event stream, and events of it.
        kBody,    // The head of another answer, and a part of its body.
    };
    struct NewEvents {
        std::string bytes;
        bool outOfOrder = false;  // An event followed that cannot be passed on.
    };

    Task<RelayEnd> relayWhole(UpstreamExchange& exchange, AttemptEnd judged,
                              const RelayRules& rules, MonoTime silentUntil,
                              const ReadDeadlines& deadlines);
    Task<RelayEnd> relayEvents(UpstreamExchange& exchange, const ReadDeadlines& deadlines);
    // Passes on `begun`, which was read already, and the rest. `judged`: how the attempt ends once
    // all of it is with the caller.
    Task<RelayEnd> relayPieces(UpstreamExchange& exchange, AttemptEnd judged, std::string begun,
                               const ReadDeadlines& deadlines);
    // The events that `bytes` complete and that the caller does not have yet.
    NewEvents newEvents(EventStream& stream, std::string_view bytes);
    void noteBegun();
    AnswerWait waitOf(const ReadDeadlines& deadlines) const {
        return {deadlines.end, headSent() ? deadlines.next() : deadlines.first()};
    }
    Task<bool> pass(const ResponseHead& head, Delivered kind, std::string_view bytes);
    Task<bool> sendHead(const ResponseHead& head, Delivered kind);

    const Lifecycle& m_lifecycle;
    CallerConnection& m_caller;
    DeliveredEvents m_events;
    std::function<void()> m_onBegin;  // Empty once it was called.
    Delivered m_delivered = Delivered::kNothing;
    std::optional<MonoTime> m_firstByteAt;
    bool m_callerHasAll = false;
    bool m_saidClose = false;
    CollectedBody m_body;       // Of the answer that is kept for finish().
    std::string m_wholeAnswer;  // That answer, as it goes to the caller.
    unsigned m_wholeStatus = 0;
    unsigned m_status = 0;
};

}  // namespace onyx
