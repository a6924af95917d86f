// Decides what follows an attempt of a request: another attempt, the answer, or giving up.
//
// Inputs: how the attempts so far ended; what the route allows (repeatable, resumable, attempts);
// whether there is time for another; whether the caller has the head of an answer; and, asked only
// when all else allows a retry, the retry budget.
//
// The rules: a request that may have run is sent again only if its route is repeatable, so that one
// that is not runs at most once. "Not run" is said only if no attempt may have run. Attempts that
// reached no upstream of the service cost no budget and have a limit of their own.
//
// A pure state machine: the same ends give the same steps.
#pragma once

#include <cstdint>
#include <string_view>

namespace onyx {

// How one attempt ended.
enum class AttemptEnd : uint8_t {
    kNotSent,       // No byte of the request left this box.
    kDeclined,      // The upstream says that it did not run the request.
    kMisdirected,   // Another upstream has the address; the request did not run.
    kFailed,        // The upstream ran it and answered with a failure.
    kUnclear,       // It may have run: no answer, a broken one, or one that is not ours.
    kAnswered,      // A whole answer, or a stream to its end.
    kStreamBroken,  // A stream broke off after its first event.
};

// The end of an attempt as it stands in logs and metrics. Thread safety: any thread.
std::string_view AttemptEndName(AttemptEnd end);

// What follows.
enum class NextStep : uint8_t {
    kDeliver,  // Give the caller the upstream's answer.
    kRetry,    // Try another upstream.
    kRefuse,   // Tell the caller that it did not run, and when to retry.
    kFail,     // Tell the caller that nothing can be said.
    kBreak,    // End the caller's stream so that it is seen to be broken.
};

// Why a step is the next one.
enum class StepReason : uint8_t {
    kAnswered,         // There is an answer.
    kMayRetry,         // All rules allow another attempt.
    kNoTime,           // Too little of the deadline is left, or the caller has gone.
    kAttemptsUsed,     // The route allows no more.
    kConnectionsUsed,  // Too many attempts reached no upstream of the service.
    kNotRepeatable,    // It may have run, and the route does not allow a second run.
    kNotResumable,     // Its stream has begun and cannot go on elsewhere.
    kNoBudget,         // The retry budget is used up.
    kNoUpstream,       // There is no upstream to try.
    kRefusedSince,     // It would not be admitted any more.
};

// The reason as it stands in the log. Thread safety: any thread.
std::string_view StepReasonName(StepReason reason);

// What follows, and why.
struct Verdict {
    NextStep step = NextStep::kFail;
    StepReason reason = StepReason::kNoUpstream;
};

// What the route allows.
struct AttemptRules {
    bool repeatable = false;
    bool resumable = false;
    int maxAttempts = 1;  // Upstreams of the service that may have the request.
    // Attempts that may reach no upstream of the service before the request is given up:
    // after as many refused connections the list of upstreams is likely wrong.
    int maxUnsent = 4;
};

// What is true when an attempt has ended.
struct AttemptFacts {
    bool timeLeft = true;        // Enough of the deadline for another attempt.
    bool callerHasHead = false;  // The caller got the head of a stream.
};

// The attempts of one request. Not thread safe: one task owns it.
class RequestAttempts {
public:
    explicit RequestAttempts(const AttemptRules& rules) : m_rules(rules) {}

    // Takes in how an attempt ended and says what follows. `takeRetry` is asked only when another
    // attempt would go to a service that has had this request; it takes from the budget.
    // Preconditions: none.
    template <class TakeRetry>
    Verdict ended(AttemptEnd end, const AttemptFacts& facts, TakeRetry&& takeRetry) {
        countAttempt(end);
        if (end == AttemptEnd::kAnswered) {
            return {NextStep::kDeliver, StepReason::kAnswered};
        }
        StepReason reason = retryReason(end, facts);
        if (reason == StepReason::kMayRetry && end != AttemptEnd::kNotSent && !takeRetry()) {
            reason = StepReason::kNoBudget;
        }
        if (reason == StepReason::kMayRetry) {
            return {NextStep::kRetry, reason};
        }
        // A failure that nothing better follows is the upstream's answer.
        if (end == AttemptEnd::kFailed && !facts.callerHasHead) {
            return {NextStep::kDeliver, reason};
        }
        return stepWithoutRetry(facts.callerHasHead, reason);
    }

    // What to tell a caller whose request ends without another attempt. Preconditions: none.
    Verdict stepWithoutRetry(bool callerHasHead, StepReason reason) const;

    // Whether another attempt could follow the next one, if that finds no answer at all.
    // Preconditions: none.
    bool mayRetryUnanswered() const { return m_rules.repeatable && hasAttemptsAfterNext(); }
    // The same if its stream breaks off. Preconditions: none.
    bool mayRetryBroken() const { return m_rules.resumable && hasAttemptsAfterNext(); }

    // Whether any attempt may have run. Preconditions: none.
    bool mayHaveRun() const { return m_mayHaveRun; }
    // Upstreams of the service that had the request. Preconditions: none.
    int attempts() const { return m_attempts; }

private:
    bool hasAttemptsAfterNext() const { return m_attempts + 1 < m_rules.maxAttempts; }
    void countAttempt(AttemptEnd end);
    StepReason retryReason(AttemptEnd end, const AttemptFacts& facts) const;

    AttemptRules m_rules;
    int m_attempts = 0;
    int m_unsent = 0;  // Attempts that reached no upstream of the service.
    bool m_mayHaveRun = false;
};

}  // namespace onyx
