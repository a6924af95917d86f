// Decides what follows an attempt of a request: a retry, delivery of the answer, or an error.
//
// Inputs: how the attempts so far ended; what the route allows (repeatable, resumable, number of
// attempts); whether there is time for another attempt; whether the caller has received the head of
// an answer; and the retry budget, which is consulted only if every other rule allows a retry.
//
// Rules: a request that may have run is sent again only if its route is repeatable, so a request of
// any other route runs at most once. Once the caller has the head of an answer, another upstream
// may only continue that answer. A caller is informed that its request did not run only if no
// attempt may have run it. A retry after an attempt that was not sent takes nothing from the retry
// budget. Attempts that reached no upstream of the service have a limit of their own.
//
// The state machine is deterministic: the same inputs give the same steps.
#pragma once

#include <cstdint>
#include <string_view>

namespace onyx {

// How one attempt ended.
enum class AttemptEnd : uint8_t {
    kNotSent,       // No byte of the request left this box.
    kDeclined,      // The upstream reported that it did not run the request.
    kMisdirected,   // The address belongs to another upstream; the request did not run.
    kFailed,        // The upstream ran the request and answered with a failure.
    kUnclear,       // May have run: the answer is absent, truncated or not authentic.
    kAnswered,      // A complete answer, or a stream up to its end.
    kStreamBroken,  // The stream broke off after its first event.
};

// Returns the name of `end` in logs and metrics. Thread safety: any thread.
std::string_view AttemptEndName(AttemptEnd end);

// What to do after an attempt.
enum class NextStep : uint8_t {
    kDeliver,  // Send the upstream's answer to the caller.
    kRetry,    // Try another upstream.
    kRefuse,   // Answer that the request did not run, and when to retry.
    kFail,     // Answer that it is unknown whether the request ran.
    kBreak,    // End the caller's stream in a way that shows it is incomplete.
};

// Why a step was chosen.
enum class StepReason : uint8_t {
    kAnswered,         // The upstream answered.
    kMayRetry,         // All rules allow another attempt.
    kNoTime,           // Too little time before the deadline, or the caller disconnected.
    kAttemptsUsed,     // The route allows no more attempts.
    kConnectionsUsed,  // Too many attempts reached no upstream of the service.
    kNotRepeatable,    // May have run, and the route does not allow a second run.
    kNotResumable,     // The answer has begun and cannot continue on another upstream.
    kNoBudget,         // The retry budget is exhausted.
    kNoUpstream,       // No upstream is left to try.
    kRefusedSince,     // The request would no longer be admitted.
    kBoxStopping,      // The box stops and has no more time for the request.
};

// Returns the name of `reason` in the log. Thread safety: any thread.
std::string_view StepReasonName(StepReason reason);

// The next step and the reason for it.
struct Verdict {
    NextStep step = NextStep::kFail;
    StepReason reason = StepReason::kNoUpstream;
};

// What the route allows. A repeatable request may run more than once; a resumable stream may
// continue on another upstream after it broke off.
struct AttemptRules {
    bool repeatable = false;
    bool resumable = false;
    int maxAttempts = 1;  // Upstreams of the service that may receive the request.
    // Limit of attempts that reach no upstream of the service. After this many refused connections
    // the list of upstreams is probably wrong, so the request ends.
    int maxUnsent = 4;
};

// Circumstances at the end of an attempt.
struct AttemptFacts {
    bool timeLeft = true;        // Enough time before the deadline for another attempt.
    bool callerHasHead = false;  // The caller has received the head of an answer.
    bool mayContinue = true;     // Another upstream may continue what the caller has.
    // The caller has all of the attempt's answer, which was passed on as it arrived.
    bool callerHasAll = false;
};

// The attempts of one request. Not thread safe: one task owns it.
class RequestAttempts {
public:
    explicit RequestAttempts(const AttemptRules& rules) : m_rules(rules) {}

    // Records how an attempt ended and returns the next step. `takeRetry` takes one retry from the
    // retry budget and returns false if the budget is exhausted. It is called only if every other
    // rule allows a retry and this attempt did not end with `kNotSent`. Preconditions: none.
    template <class TakeRetry>
    Verdict ended(AttemptEnd end, const AttemptFacts& facts, TakeRetry&& takeRetry) {
        countAttempt(end);
        if (end == AttemptEnd::kAnswered || facts.callerHasAll) {
            return {NextStep::kDeliver, StepReason::kAnswered};
        }
        StepReason reason = retryReason(end, facts);
        if (reason == StepReason::kMayRetry && end != AttemptEnd::kNotSent && !takeRetry()) {
            reason = StepReason::kNoBudget;
        }
        if (reason == StepReason::kMayRetry) {
            return {NextStep::kRetry, reason};
        }
        // Without a retry, the upstream's failure is the answer to the request.
        if (end == AttemptEnd::kFailed && !facts.callerHasHead) {
            return {NextStep::kDeliver, reason};
        }
        return stepWithoutRetry(facts.callerHasHead, reason);
    }

    // Returns the step for a request that ends without another attempt: `kBreak` if the caller has
    // the head of an answer, `kFail` if any attempt may have run, otherwise `kRefuse`.
    // Preconditions: none.
    Verdict stepWithoutRetry(bool callerHasHead, StepReason reason) const;

    // Returns whether another attempt could follow the next one if the next one gets no answer.
    // Preconditions: none.
    bool mayRetryUnanswered() const { return m_rules.repeatable && hasAttemptsAfterNext(); }
    // Returns whether another attempt could follow the next one if its stream breaks off.
    // Preconditions: none.
    bool mayRetryBroken() const { return m_rules.resumable && hasAttemptsAfterNext(); }

    // Returns whether another attempt could follow now if the one under way were given up, apart
    // from the retry budget. Preconditions: an attempt is under way.
    bool mayGiveUp(const AttemptFacts& facts) const;

    // Returns whether any attempt may have run the request. Preconditions: none.
    bool mayHaveRun() const { return m_mayHaveRun; }
    // Returns the number of attempts that reached an upstream of the service. Preconditions: none.
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
