// One attempt of a request at one upstream: opens a connection, sends the request, relays the
// answer, and takes in what it saw of the upstream. Whether another attempt follows is decided by
// RequestAttempts, when this one is given up by AttemptBounds.
//
// Owns its exchange with the upstream. Relies on RequestContext for the rest.
#pragma once

#include "include/request/AnswerRelay.h"
#include "include/request/CallerConnection.h"
#include "include/request/RequestContext.h"
#include "include/request/UpstreamExchange.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace onyx {

// What an attempt needs of its request. Outlives the attempt.
struct AttemptRequest {
    const CallerMessage& message;
    const std::shared_ptr<const RequestBody>& body;
    const CallerFacts& facts;
    const Admission& admission;
    const RequestAttempts& attempts;  // So far, without this one.
    bool first = false;               // No attempt of the request was sent before.
    MonoTime arrived;                 // The caller's request, at this box.
    // The connections to upstreams that carried the request before, by number.
    std::span<const uint64_t> usedConnections = {};
    // Whether the attempt may be given up for another one, which is assured then.
    std::function<bool()> mayGiveUp = {};
};

// Not thread safe: one io_context, one task.
class Attempt {
public:
    // Preconditions: all arguments but `place` outlive the attempt.
    Attempt(RequestContext& context, CallerConnection& caller, AnswerRelay& relay,
            const AttemptRequest& request, const AttemptPlace& place);

    // Makes the attempt. Preconditions: called once.
    Task<AttemptReport> run();

    // Whether the request went out, whatever became of it. Preconditions: run() ended.
    bool sent() const { return m_sent; }

private:
    Task<RelayEnd> exchange();
    void finishExchange(AttemptEnd end);
    Task<bool> connect();
    std::string requestHead() const;
    MonoTime firstByteDeadline() const;
    MonoTime nextPieceDeadline() const;
    bool mayGiveUp();
    void learnFromHead();
    std::optional<Millis> backoffAfter(const UpstreamFacts& facts) const;
    bool isOfPast() const;
    std::optional<Millis> timeToFirstByte(AttemptEnd end, Millis took) const;
    void noteHealth(AttemptEnd end);
    void noteRoom(const AttemptReport& report);
    void noteReach(const AttemptReport& report);

    RequestContext& m_context;
    CallerConnection& m_caller;
    AnswerRelay& m_relay;
    const AttemptRequest& m_request;
    AttemptPlace m_place;
    std::shared_ptr<UpstreamExchange> m_exchange;
    MonoTime m_start;
    MonoTime m_sentAt;  // Once it was sent.
    bool m_sent = false;
    bool m_silenceNoted = false;  // The upstream's silence counts for its health already.
    std::optional<unsigned> m_answerStatus;  // Once the head of an answer came.
    std::string m_connectError;  // Why no connection could be opened; empty: none failed.
};

}  // namespace onyx
