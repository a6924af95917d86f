// One request of a caller, from its head to the last byte of its answer: sends it, again where that
// is allowed, and answers by itself where no upstream's answer can be had. What it is for, where it
// goes and what follows an attempt is decided by Admit, ChooseNextUpstream and RequestAttempts.
#pragma once

#include "include/gateway/AnswerRelay.h"
#include "include/gateway/CallerConnection.h"
#include "include/gateway/GatewayState.h"
#include "include/gateway/UpstreamChoice.h"
#include "include/gateway/UpstreamExchange.h"
#include "include/relay/RequestAttempts.h"

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
    Task<AfterAnswer> serve();
    // Makes one attempt and says what follows.
    Task<Verdict> attempt(const UpstreamChoice& choice);
    Task<RelayEnd> exchangeWith(UpstreamExchange& exchange, const UpstreamChoice& choice);
    Verdict judge(AttemptEnd end);
    std::string orderText(const UpstreamChoice& choice) const;
    MonoTime firstByteDeadline() const;
    MonoTime nextPieceDeadline() const;
    void learnFromHead(const UpstreamFacts& facts, const std::string& upstream);
    void noteAttempt(const UpstreamExchange& exchange, const RelayEnd& ended, MonoTime start);
    void logAttempt(const UpstreamChoice& choice, MonoTime now) const;
    void logAttemptEnd(const UpstreamExchange& exchange, const RelayEnd& ended,
                       const Verdict& verdict, Millis took) const;
    // Carries out what is the last step of a request.
    Task<AfterAnswer> conclude(const Verdict& verdict);
    Task<AfterAnswer> answerRefusal(const Refusal& refusal);
    AfterAnswer afterAnswer() const;
    void logDone(std::string_view outcome) const;

    GatewayState& m_state;
    CallerConnection& m_caller;
    CallerMessage m_message;
    MonoTime m_arrived;
    uint64_t m_draw;  // A random number of this request's own.
    CallerFacts m_facts;
    Admission m_admission;
    RequestAttempts m_attempts{AttemptRules{}};
    std::optional<AnswerRelay> m_relay;  // Once the head is read.
    bool m_counted = false;              // Its first attempt was counted for the retry budget.
    bool m_timedOut = false;             // The last attempt ended for lack of time.
    std::set<std::string> m_tried;
    std::string m_upstreamId;  // That it was sent to last.
};

}  // namespace onyx
