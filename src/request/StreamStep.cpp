#include "include/request/StreamStep.h"

#include <algorithm>

namespace onyx {

Task<std::optional<Refusal>> StreamStep::findOrigin() {
    const CallerFacts& facts = m_request.facts;
    const Route& route = *m_request.admission.route;
    if (!route.stream) {
        co_return std::nullopt;
    }
    m_fingerprint = m_request.fingerprint();
    if (route.resumable) {
        const ServiceId service = m_request.admission.service;
        if (facts.takesUpStream()) {
            co_await m_context.versionRecords.noteStreamTime(service, takeUpTime());
        } else {
            co_await m_context.versionRecords.prepareToBegin(service, takeUpTime());
        }
    }
    if (!facts.takesUpStream()) {
        co_return std::nullopt;
    }
    const StreamOriginReport report = co_await find();
    m_context.log.streamTakenUp(facts, report);
    if (report.found.source == StreamOriginSource::kUnknown) {
        Refusal refusal = MakeRefusal(RefusalReason::kStreamOriginUnknown);
        if (facts.resumes.empty()) {
            // Another box has no record either: these exist for named streams only.
            refusal.retryAfter = std::max(
                m_context.versionRecords.settlesIn(m_request.admission.service, ReadClocks().mono),
                kRetryAfterStreamUnknownMs);
        }
        co_return refusal;
    }
    m_origin = report.found.origin;
    co_return std::nullopt;
}

// The records of boxes come first because they are exact; the store's remain if all boxes
// restarted.
Task<StreamOriginReport> StreamStep::find() {
    const CallerFacts& facts = m_request.facts;
    const ServiceId service = m_request.admission.service;
    const std::string stream = facts.resumes;
    std::string name = service.value;
    StreamOriginReport report;
    if (!stream.empty()) {
        report = co_await m_context.streams.find(stream, std::move(name), span());
    } else {
        report.found = m_context.streams.findOnlyVersion(service, span());
    }
    if (report.found.source != StreamOriginSource::kUnknown) {
        co_return report;
    }
    if (!stream.empty()) {
        const auto origin = co_await m_context.storedStreams.find(stream, service.value);
        if (origin) {
            report.found = {StreamOriginSource::kStored, *origin};
            co_return report;
        }
    }
    if (m_request.admission.route->services.size() > 1) {
        co_return report;  // The record determines a version, but not the service.
    }
    const auto version = co_await m_context.versionRecords.findVersion(service, m_fingerprint);
    if (version) {
        report.found = {StreamOriginSource::kRecordedVersions, {service.value, *version}};
    }
    co_return report;
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
    m_context.streams.begin(m_request.facts.streamId(), *m_origin, span(),
                            m_request.arrived + takeUpTime());
    m_context.storedStreams.add(m_request.facts.streamId(), *m_origin, m_fingerprint,
                                m_request.arrived + takeUpTime());
}

void StreamStep::end() {
    if (m_recorded) {
        m_context.streams.end(m_request.facts.streamId());
    }
}

Millis StreamStep::takeUpTime() const {
    return m_request.facts.clientTimeout.value_or(m_request.admission.route->timeout);
}

// How long streams of the route can last. A route with several services leaves open which of them
// began a stream, so that only a record tells its origin.
Millis StreamStep::span() const {
    const Route& route = *m_request.admission.route;
    return route.services.size() > 1
               ? 2 * VersionHistory::kRetentionMs
               : std::max({VersionHistory::kMinStreamMs, route.timeout,
                           m_context.versionRecords.streamTime(m_request.admission.service)});
}

}  // namespace onyx
