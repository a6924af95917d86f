#include "include/request/JudgeStep.h"

#include <utility>

namespace onyx {

void JudgeStep::setRoute(const Route& route) {
    AttemptRules rules;
    rules.repeatable = route.repeatable;
    rules.resumable = route.resumable;
    rules.maxAttempts = route.maxAttempts;
    m_attempts = RequestAttempts(rules);
}

AttemptFacts JudgeStep::factsOf(bool timeLeft) const {
    const AnswerRelay& answer = *m_progress.answer;
    return {timeLeft, answer.headSent(), answer.mayContinue(), answer.callerHasAll()};
}

bool JudgeStep::hasTime(MonoTime now) const {
    return HasTimeForAttempt(m_request.admission.deadline, now) && !m_caller.gone();
}

bool JudgeStep::takeRetry(MonoTime now) {
    return m_context.retries.tryAcquireRetry(m_request.admission.service,
                                             m_context.mesh.boxesKnown(), now);
}

bool JudgeStep::mayRetry() const {
    const MonoTime now = ReadClocks().mono;
    return m_attempts.mayGiveUp(factsOf(hasTime(now))) &&
           (m_hasRetry || m_context.retries.hasRetry(m_request.admission.service,
                                                     m_context.mesh.boxesKnown(), now));
}

bool JudgeStep::reserveRetry() {
    m_hasRetry = m_hasRetry || takeRetry(ReadClocks().mono);
    return m_hasRetry;
}

Verdict JudgeStep::judge(AttemptEnd end) {
    const MonoTime now = ReadClocks().mono;
    return m_attempts.ended(end, factsOf(hasTime(now)),
                            [&] { return std::exchange(m_hasRetry, false) || takeRetry(now); });
}

Verdict JudgeStep::judgeRelayed(AttemptEnd end) {
    return m_attempts.ended(end, factsOf(false), [] { return false; });
}

Verdict JudgeStep::withoutRetry(StepReason reason) const {
    return m_attempts.stepWithoutRetry(m_progress.answer->headSent(), reason);
}

}  // namespace onyx
