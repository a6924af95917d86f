#include "include/request/JudgeStep.h"

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

Verdict JudgeStep::judge(AttemptEnd end) {
    const MonoTime now = ReadClocks().mono;
    const Admission& admission = m_request.admission;
    const bool timeLeft = HasTimeForAttempt(admission.deadline, now) && !m_caller.gone();
    return m_attempts.ended(end, factsOf(timeLeft), [&] {
        return m_context.retries.tryAcquireRetry(admission.service, m_context.mesh.boxesKnown(),
                                                 now);
    });
}

Verdict JudgeStep::judgeRelayed(AttemptEnd end) {
    return m_attempts.ended(end, factsOf(false), [] { return false; });
}

Verdict JudgeStep::withoutRetry(StepReason reason) const {
    return m_attempts.stepWithoutRetry(m_progress.answer->headSent(), reason);
}

}  // namespace onyx
