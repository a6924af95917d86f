#include "include/request/AttemptStep.h"

namespace onyx {

Task<Verdict> AttemptStep::run(const AttemptPlace& place, const std::function<bool()>& mayGiveUp) {
    noteBegin(place);
    const AttemptRequest request{
        m_request.message,  m_request.body,   m_request.facts,   m_request.admission,
        m_judge.attempts(), !m_progress.sent, m_request.arrived, m_progress.usedConnections,
        mayGiveUp};
    Attempt attempt(m_context, m_caller, *m_progress.answer, request, place);
    AttemptReport report = co_await attempt.run();
    if (attempt.sent()) {
        m_progress.sent = true;
        m_progress.usedConnections.push_back(report.connection.number);
    }
    m_progress.isAtUpstream = false;
    m_context.quarantine.noteAttemptEnded(m_request.fingerprints(), m_progress.attemptStart);
    noteEnd(place, report);
    const Verdict verdict = m_judge.judge(report.end);
    m_context.log.attemptEnded(m_request.facts.id, report, verdict);
    co_return verdict;
}

void AttemptStep::noteBegin(const AttemptPlace& place) {
    m_progress.upstream = place.upstream.id;
    m_progress.version = place.upstream.version;
    m_progress.attemptStart = ReadClocks().mono;
    m_progress.isAtUpstream = true;
    m_context.log.attemptStarted(m_request.facts, m_judge.attempts().attempts() + 1, place,
                                 ReadClocks().mono - m_request.arrived);
}

void AttemptStep::noteEnd(const AttemptPlace& place, AttemptReport& report) {
    m_progress.timedOut = report.timedOut;
    m_progress.unreached = report.connection.connectError.empty() ? 0 : m_progress.unreached + 1;
    if (report.upstreamEnded) {
        report.fingerprint = m_request.fingerprint();
        noteBroken(place.upstream, report);
    }
    noteAnswer(place, report);
}

// The time of an answer can be compared with others if the upstream is warm and need not read the
// prompt first. What a caller that left has not received says nothing.
void AttemptStep::noteAnswer(const AttemptPlace& place, const AttemptReport& report) {
    if (m_caller.gone()) {
        return;
    }
    const bool isCold = m_context.records.cold()
                            .coldLeft(place.upstream.incarnation(), ReadClocks().mono)
                            .has_value();
    const bool isComparable = !isCold && (m_request.facts.sharedParts.empty() || place.holdsPrompt);
    m_context.rollouts.recordAnswer({place.upstream, m_request.admission.route->name, report.end,
                                     isComparable ? report.firstByte : std::nullopt});
}

void AttemptStep::noteBroken(const Upstream& upstream, const AttemptReport& report) {
    const MonoTime now = ReadClocks().mono;
    m_context.quarantine.noteInterruptedAttempt(
        upstream, {m_request.facts.id, m_request.fingerprint(), m_request.facts.sharedParts,
                   now - report.took, now});
}

}  // namespace onyx
