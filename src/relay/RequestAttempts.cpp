#include "include/relay/RequestAttempts.h"

namespace onyx {

std::string_view AttemptEndName(AttemptEnd end) {
    switch (end) {
        case AttemptEnd::kNotSent:
            return "not-sent";
        case AttemptEnd::kDeclined:
            return "declined";
        case AttemptEnd::kMisdirected:
            return "misdirected";
        case AttemptEnd::kFailed:
            return "failed";
        case AttemptEnd::kUnclear:
            return "unclear";
        case AttemptEnd::kAnswered:
            return "answered";
        case AttemptEnd::kStreamBroken:
            return "stream-broken";
    }
    return "invalid";
}

std::string_view StepReasonName(StepReason reason) {
    switch (reason) {
        case StepReason::kAnswered:
            return "answered";
        case StepReason::kMayRetry:
            return "may-retry";
        case StepReason::kNoTime:
            return "no-time";
        case StepReason::kAttemptsUsed:
            return "attempts-used";
        case StepReason::kConnectionsUsed:
            return "connections-used";
        case StepReason::kNotRepeatable:
            return "not-repeatable";
        case StepReason::kNotResumable:
            return "not-resumable";
        case StepReason::kNoBudget:
            return "no-budget";
        case StepReason::kNoUpstream:
            return "no-upstream";
        case StepReason::kRefusedSince:
            return "refused-since";
        case StepReason::kBoxStopping:
            return "box-stopping";
    }
    return "invalid";
}

void RequestAttempts::countAttempt(AttemptEnd end) {
    if (end == AttemptEnd::kNotSent || end == AttemptEnd::kMisdirected) {
        ++m_unsent;  // No upstream of the service received the request.
        return;
    }
    ++m_attempts;
    m_mayHaveRun = m_mayHaveRun || end != AttemptEnd::kDeclined;
}

StepReason RequestAttempts::retryReason(AttemptEnd end, const AttemptFacts& facts) const {
    if (!facts.timeLeft) {
        return StepReason::kNoTime;
    }
    if (m_unsent >= m_rules.maxUnsent) {
        return StepReason::kConnectionsUsed;
    }
    if (m_attempts >= m_rules.maxAttempts) {
        return StepReason::kAttemptsUsed;
    }
    if (m_mayHaveRun && !m_rules.repeatable) {
        return StepReason::kNotRepeatable;
    }
    const bool cannotContinue = facts.callerHasHead && !facts.mayContinue;
    if (cannotContinue || (end == AttemptEnd::kStreamBroken && !m_rules.resumable)) {
        return StepReason::kNotResumable;
    }
    return StepReason::kMayRetry;
}

bool RequestAttempts::mayGiveUp(const AttemptFacts& facts) const {
    const AttemptEnd end = facts.callerHasHead ? AttemptEnd::kStreamBroken : AttemptEnd::kUnclear;
    RequestAttempts after = *this;
    after.countAttempt(end);
    return after.retryReason(end, facts) == StepReason::kMayRetry;
}

Verdict RequestAttempts::stepWithoutRetry(bool callerHasHead, StepReason reason) const {
    if (callerHasHead) {
        return {NextStep::kBreak, reason};
    }
    return {m_mayHaveRun ? NextStep::kFail : NextStep::kRefuse, reason};
}

}  // namespace onyx
