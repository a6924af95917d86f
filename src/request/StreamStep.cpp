#include "include/request/StreamStep.h"

#include <algorithm>

namespace onyx {

Task<std::optional<Refusal>> StreamStep::findOrigin() {
    const CallerFacts& facts = m_request.facts;
    if (!m_request.admission.route->stream || !facts.takesUpStream()) {
        co_return std::nullopt;
    }
    const StreamKey key = facts.resumes.empty() ? StreamKey::OfFingerprint(m_request.fingerprint())
                                                : StreamKey::OfId(facts.resumes);
    std::string service = m_request.admission.service.value;
    const StreamOriginReport report =
        co_await m_context.streams.find(key, std::move(service), span());
    m_context.log.streamTakenUp(facts, report);
    if (report.found.source == StreamOriginSource::kUnknown) {
        co_return MakeRefusal(RefusalReason::kStreamOriginUnknown);
    }
    m_origin = report.found.origin;
    co_return std::nullopt;
}

// Runs before the first event goes to the caller, so that a caller that comes back finds the
// record.
void StreamStep::noteBegun() {
    const Admission& admission = m_request.admission;
    if (!m_origin) {
        m_origin = StreamOrigin{admission.service.value, m_progress.version};
    }
    if (!admission.route->resumable || m_origin->version.empty()) {
        return;
    }
    m_recorded = true;
    const Millis timeout = m_request.facts.clientTimeout.value_or(admission.route->timeout);
    for (const StreamKey& key : keys()) {
        m_context.streams.begin(key, *m_origin, span(), m_request.arrived + timeout);
    }
}

void StreamStep::end() {
    if (!m_recorded) {
        return;
    }
    for (const StreamKey& key : keys()) {
        m_context.streams.end(key);
    }
}

// How the stream is found again; by what is asked for where the caller names no request.
std::vector<StreamKey> StreamStep::keys() {
    return {StreamKey::OfId(m_request.facts.streamId()),
            StreamKey::OfFingerprint(m_request.fingerprint())};
}

// How long streams of the route can last. A route with several services leaves open which of them
// began a stream, so that only a record tells its origin.
Millis StreamStep::span() const {
    const Route& route = *m_request.admission.route;
    return route.services.size() > 1 ? 2 * VersionHistory::kRetentionMs
                                     : std::max(VersionHistory::kMinStreamMs, route.timeout);
}

}  // namespace onyx
