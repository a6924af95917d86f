#include "include/request/AnswerStep.h"

#include "include/base/HttpStatus.h"
#include "include/request/HttpText.h"
#include "include/request/RelayHeaders.h"

#include <algorithm>

namespace onyx {

Task<AfterAnswer> AnswerStep::deliver() {
    const bool success = m_progress.answer->lastWordStatus() < HttpStatus::kFirstRedirect;
    if (success) {
        m_context.quarantine.noteAnswer(m_request.fingerprint(), m_progress.attemptStart);
        m_context.quarantine.notePartAnswers(std::span(m_request.fingerprints()).subspan(1),
                                             m_progress.attemptStart);
    }
    const bool written = co_await m_progress.answer->finish();
    m_context.log.done(report(), m_request.admission, kAnswered);
    co_return written ? afterAnswer(m_progress.answer->saidClose()) : AfterAnswer::kAborted;
}

AfterAnswer AnswerStep::abandon(std::string_view outcome, std::optional<StepReason> why) {
    m_caller.abort();
    m_context.log.done(report(), m_request.admission, outcome, why);
    return AfterAnswer::kAborted;
}

Task<AfterAnswer> AnswerStep::refuse(const Refusal& refusal) {
    HttpFields fields;
    if (!m_request.facts.id.empty()) {
        m_context.dialect.markAnswer(fields, m_request.facts.id);
    }
    if (refusal.retryAfter) {
        const auto [name, value] = m_context.dialect.retryAfter(*refusal.retryAfter);
        fields.set(name, value);
    }
    markNotRun(fields, refusal);
    const bool close = afterAnswer(m_context.lifecycle.draining()) == AfterAnswer::kClose;
    std::string text = RefusalText(refusal.status, refusal.text, fields, close);
    const bool written = co_await m_caller.write(std::move(text));
    const Admission& admission = m_request.admission;
    const AdmissionRules& rules = m_context.settings.admission;
    m_context.log.refused(report(), admission.route != nullptr ? &admission : nullptr, refusal,
                          m_admit.decidedOn(), std::min(rules.freshLimit, rules.denialLimit));
    co_return written ? afterAnswer(close) : AfterAnswer::kAborted;
}

// Tells the box that relayed the request that it has not run.
void AnswerStep::markNotRun(HttpFields& fields, const Refusal& refusal) const {
    if (!m_request.fromBox || m_judge.attempts().mayHaveRun()) {
        return;
    }
    const bool elsewhere = refusal.status == HttpStatus::kUnavailable && !refusal.fingerprint &&
                           m_judge.attempts().attempts() == 0;
    fields.set(kRelayHeader, elsewhere ? kRelayUnavailable : kRelayNotRun);
}

// The caller goes by what the head said, which may have been sent before a stop began.
AfterAnswer AnswerStep::afterAnswer(bool saidClose) const {
    const bool keep = m_request.message.keep_alive() && !saidClose;
    return keep ? AfterAnswer::kKeep : AfterAnswer::kClose;
}

RequestReport AnswerStep::report() const {
    const std::optional<AnswerRelay>& answer = m_progress.answer;
    RequestReport report;
    report.id = m_request.facts.id;
    report.upstream = m_progress.upstream;
    report.attempts = m_judge.attempts().attempts();
    report.mayHaveRun = m_judge.attempts().mayHaveRun();
    report.status = answer ? answer->status() : 0;
    const MonoTime now = ReadClocks().mono;
    report.took = now - m_request.arrived;
    report.phase = m_context.lifecycle.phase(now);
    report.sinceStopSignal = m_context.lifecycle.sinceSignal(now);
    report.forBox = m_request.fromBox;
    if (answer && answer->firstByteAt()) {
        report.firstByte = *answer->firstByteAt() - m_request.arrived;
    }
    return report;
}

}  // namespace onyx
