// One request of a caller, from its first send to its answer: what may follow after each send.
// A pure state machine; the gateway carries its verdicts out.
#pragma once

#include <cstdint>
#include <string_view>

namespace onyx {

// How one send to an upstream ended.
enum class SendEnd : uint8_t {
    kNotSent,       // No byte of the request left this box.
    kDeclined,      // The upstream says that it did not run the request.
    kMisdirected,   // Another upstream has the address; the request did not run.
    kFailed,        // The upstream ran it and answered with a failure.
    kUnclear,       // It may have run: no answer, a broken one, or one that is not ours.
    kAnswered,      // A whole answer, or a stream to its end.
    kStreamBroken,  // A stream broke off after its first event.
};

// The end of a send as it stands in logs and metrics. Thread safety: any thread.
constexpr std::string_view SendEndName(SendEnd end) {
    switch (end) {
        case SendEnd::kNotSent:
            return "not-sent";
        case SendEnd::kDeclined:
            return "declined";
        case SendEnd::kMisdirected:
            return "misdirected";
        case SendEnd::kFailed:
            return "failed";
        case SendEnd::kUnclear:
            return "unclear";
        case SendEnd::kAnswered:
            return "answered";
        case SendEnd::kStreamBroken:
            return "stream-broken";
    }
    return "invalid";
}

// What follows.
enum class NextStep : uint8_t {
    kDeliver,    // Give the caller the upstream's answer.
    kSendAgain,  // Send it to another upstream.
    kRefuse,     // Tell the caller that it did not run, and when to retry.
    kFail,       // Tell the caller that nothing can be said.
    kBreak,      // End the caller's stream so that it is seen to be broken.
};

// What the route allows.
struct RequestRules {
    bool repeatable = false;
    bool resumable = false;
    int maxAttempts = 1;
    int mostUnsent = 4;  // Connections that may fail before the request is refused.
};

// What is true at the time of a verdict.
struct RequestFacts {
    bool timeLeft = true;        // Enough of the deadline for another send.
    bool callerHasHead = false;  // The caller got the head of a stream.
};

// Not thread safe: one task owns it.
class RequestState {
public:
    explicit RequestState(const RequestRules& rules) : m_rules(rules) {}

    // Takes in how a send ended and says what follows. `takeRepeat` is asked only when another
    // send would be made to a service that has had this request; it takes from the budget.
    // Preconditions: none.
    template <class TakeRepeat>
    NextStep sendEnded(SendEnd end, const RequestFacts& facts, TakeRepeat&& takeRepeat) {
        note(end);
        if (end == SendEnd::kAnswered) {
            return NextStep::kDeliver;
        }
        if (maySendAgain(end, facts) && (end == SendEnd::kNotSent || takeRepeat())) {
            return NextStep::kSendAgain;
        }
        return giveUp(end, facts);
    }

    // What to tell a caller whose request ends with no further send, such as at its deadline.
    // Preconditions: none.
    NextStep giveUp(bool callerHasHead) const {
        if (callerHasHead) {
            return NextStep::kBreak;
        }
        return m_mayHaveRun ? NextStep::kFail : NextStep::kRefuse;
    }

    // Whether any send may have run. Preconditions: none.
    bool mayHaveRun() const { return m_mayHaveRun; }
    // Upstreams that it was sent to. Preconditions: none.
    int sends() const { return m_sends; }

private:
    void note(SendEnd end);
    bool maySendAgain(SendEnd end, const RequestFacts& facts) const;
    NextStep giveUp(SendEnd end, const RequestFacts& facts) const;

    RequestRules m_rules;
    int m_sends = 0;
    int m_unsent = 0;
    bool m_mayHaveRun = false;
};

}  // namespace onyx
