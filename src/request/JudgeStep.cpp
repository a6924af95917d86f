#include "include/request/JudgeStep.h"

namespace onyx {

void JudgeStep::setRoute(const Route& route) {
    AttemptRules rules;
    rules.repeatable = route.repeatable;
    rules.resumable = route.resumable;
    rules.maxAttempts = route.maxAttempts;
    m_attempts = RequestAttempts(rules);
}

Verdict JudgeStep::judge(AttemptEnd end) {
    const MonoTime now = ReadClocks().mono;
    const Admission& admission = m_request.admission;
    const bool timeLeft = HasTimeForAttempt(admission.deadline, now) && !m_caller.gone();
    return m_attempts.ended(end, {timeLeft, m_progress.answer->headSent()}, [&] {
        return m_context.retries.tryAcquireRetry(admission.service, m_context.mesh.boxesKnown(),
                                                 now);
    });
}

Verdict JudgeStep::judgeRelayed(AttemptEnd end) {
    const AttemptFacts facts{false, m_progress.answer->headSent()};
    return m_attempts.ended(end, facts, [] { return false; });
}

Verdict JudgeStep::withoutRetry(StepReason reason) const {
    return m_attempts.stepWithoutRetry(m_progress.answer->headSent(), reason);
}

}  // namespace onyx
