#include "include/request/RelayStep.h"

namespace onyx {

namespace {

// Attempts in a row that cannot connect, after which another box is asked: the next upstream may be
// out of reach as well.
constexpr int kMaxUnreached = 2;
constexpr size_t kMaxRelayBoxes = 3;  // Boxes that are asked to handle one request.

}  // namespace

// Only a request that reached no upstream is relayed, so that its runs and retries are all counted
// by the other box. One that another box relays is not passed on, so that it cannot go round.
bool RelayStep::isDue() const {
    const bool cutOff = m_progress.unreached >= kMaxUnreached ||
                        m_context.reach.isLost(m_request.admission.service);
    return cutOff && !m_progress.sent && !m_request.fromBox;
}

// Further connects would only delay the refusal: no neighbour took the request, or the box that
// relayed it has others to ask.
bool RelayStep::cannotServe() const {
    if (m_progress.sent || m_progress.unreached == 0) {
        return false;
    }
    return m_context.reach.isLost(m_request.admission.service) ||
           (m_request.fromBox && m_progress.unreached >= kMaxUnreached);
}

Task<std::optional<Verdict>> RelayStep::run() {
    const Admission& admission = m_request.admission;
    const RegionRule regions{&admission.route->allowedRegions, admission.teamAllowedRegions};
    while (m_triedBoxes.size() < kMaxRelayBoxes) {
        const RelayQuestion question{admission.service, regions, m_triedBoxes, m_request.draw,
                                     m_request.facts.takesUpStream()};
        const auto box = m_context.relays.choose(question, ReadClocks().mono);
        if (!box) {
            break;
        }
        m_triedBoxes.insert(*box);
        m_progress.version.clear();  // The other box records what begins the stream there.
        const AttemptRequest request{m_request.message, m_request.body,     m_request.facts,
                                     admission,         m_judge.attempts(), !m_progress.sent,
                                     m_request.arrived};
        RelayAttempt attempt(m_context, m_caller, *m_progress.answer, request, *box);
        const RelayReport report = co_await attempt.run();
        m_context.log.relayed(m_request.facts.id, report);
        if (!report.unavailable) {
            co_return judge(report);
        }
        if (m_caller.gone()) {
            break;
        }
        m_context.relays.noteUnavailable(*box, admission.service, ReadClocks().mono);
    }
    co_return std::nullopt;
}

Verdict RelayStep::judge(const RelayReport& report) {
    m_progress.sent = true;
    m_progress.upstream = report.box;
    m_progress.timedOut = report.timedOut;
    m_retryAfter = report.retryAfter;
    return m_judge.judgeRelayed(report.end);
}

}  // namespace onyx
