// One request of a caller, from its head to the last byte of its answer: sends it, again where that
// is allowed, and answers by itself where no upstream's answer can be had. What it is for, where it
// goes and what follows a send is decided by DecideRoute, ChooseNextUpstream and RequestState.
#pragma once

#include "include/gateway/AnswerRelay.h"
#include "include/gateway/CallerConnection.h"
#include "include/gateway/GatewayState.h"
#include "include/gateway/RouteDecision.h"
#include "include/gateway/UpstreamChoice.h"
#include "include/gateway/UpstreamExchange.h"
#include "include/relay/RequestState.h"

#include <optional>
#include <set>
#include <string>

namespace onyx {

// What is to become of the connection after a request.
enum class AfterAnswer : uint8_t { kKeep, kClose, kAborted };

// Not thread safe: one io_context, one task.
class RelayedRequest {
public:
    // Preconditions: all arguments outlive the request.
    RelayedRequest(GatewayState& state, CallerConnection& caller, ReadRequest request);

    // Answers the request. Preconditions: called once.
    Task<AfterAnswer> run();

private:
    std::optional<Refusal> readHead();
    std::optional<Refusal> decide();
    void noteStaleness();
    bool hasTimeLeft() const;
    Task<AfterAnswer> serve();
    Task<RelayEnd> sendOnce(const UpstreamChoice& choice);
    Task<RelayEnd> exchangeWith(UpstreamExchange& exchange, const UpstreamChoice& choice);
    void logAttempt(const UpstreamChoice& choice, MonoTime now) const;
    std::string orderText(const UpstreamChoice& choice) const;
    bool isLastSend(bool mayRepeat) const;
    MonoTime firstAnswerUntil() const;
    MonoTime nextPieceUntil() const;
    void noteSend(const UpstreamExchange& exchange, const RelayEnd& sent, MonoTime start);
    void logSendEnd(const UpstreamExchange& exchange, const RelayEnd& sent, Millis took) const;
    Task<AfterAnswer> conclude(NextStep step);
    Task<AfterAnswer> answerRefusal(const Refusal& refusal);
    AfterAnswer afterAnswer() const;
    void logDone(std::string_view outcome) const;

    GatewayState& m_state;
    CallerConnection& m_caller;
    CallerMessage m_message;
    MonoTime m_arrived;
    uint64_t m_point;  // A random number of this request's own.
    CallerFacts m_facts;
    RouteDecision m_decision;
    RequestState m_sends{RequestRules{}};
    std::optional<AnswerRelay> m_relay;  // Once the head is read.
    bool m_counted = false;              // Its first send was counted for the retry budget.
    bool m_timedOut = false;             // The last send ended for lack of time.
    std::set<std::string> m_tried;
    std::string m_upstreamId;  // That it was sent to last.
};

}  // namespace onyx
