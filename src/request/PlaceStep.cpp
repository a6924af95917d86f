#include "include/request/PlaceStep.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

// A first attempt may go to a version that is on trial; where that one has no upstream that may be
// chosen, and for a retry, the version in service gets the request. A version that is new gets no
// streams while another one has upstreams.
std::optional<AttemptPlace> PlaceStep::place() {
    const MonoTime now = ReadClocks().mono;
    m_context.records.expirePeerLoads(now);
    auto place =
        PlaceAttempt(m_context.placement(), question(heldRule(m_tried.empty(), now), m_tried), now);
    if (!place && !m_stream.origin()) {
        place =
            PlaceAttempt(m_context.placement(), question(versionRule(false, now), m_tried), now);
    }
    if (place) {
        m_context.records.cold().recordSend(place->upstream.incarnation(), now);
        m_context.rollouts.recordSend(place->upstream);
    }
    return place;
}

// What two versions write does not fit together, so a stream goes on only at its own, and a stream
// that can be taken up begins where the record says, so that its version is known again. Where a
// rollout places requests, the record allows any.
VersionRule PlaceStep::versionRule(bool mayTry, MonoTime now) const {
    const ServiceId& service = m_request.admission.service;
    if (m_stream.origin()) {
        const std::string& version = m_stream.origin()->version;
        const bool mayContinue =
            !version.empty() && m_context.rollouts.mayContinue(service, version, now);
        return mayContinue ? VersionRule(OnlyVersion{version}) : VersionRule(NoVersion{});
    }
    VersionRule recorded = AnyVersion{};
    if (m_request.admission.route->resumable) {
        recorded = m_context.versionRecords.ruleToBegin(service, m_stream.fingerprint(),
                                                        m_stream.takeUpTime(), now);
    }
    return std::holds_alternative<AnyVersion>(recorded)
               ? m_context.rollouts.ruleFor(service, promptHash(), mayTry, now)
               : recorded;
}

VersionRule PlaceStep::heldRule(bool mayTry, MonoTime now) const {
    VersionRule rule = versionRule(mayTry, now);
    if (m_stream.origin() || !m_request.admission.route->resumable) {
        return rule;
    }
    std::set<std::string> held = m_context.streams.heldBack(m_request.admission.service);
    if (auto* without = std::get_if<WithoutVersions>(&rule)) {
        without->versions.merge(held);
    } else if (std::holds_alternative<AnyVersion>(rule) && !held.empty()) {
        rule = WithoutVersions{std::move(held)};
    }
    return rule;
}

uint64_t PlaceStep::promptHash() const {
    const auto& parts = m_request.facts.sharedParts;
    return parts.empty() ? m_request.draw : HashText(parts.back());
}

bool PlaceStep::hasOther(const std::string& current) const {
    const MonoTime now = ReadClocks().mono;
    std::set<std::string> tried = m_tried;
    tried.insert(current);
    const auto place =
        PlaceAttempt(m_context.placement(), question(heldRule(false, now), tried), now);
    return place && !tried.contains(place->upstream.id) &&
           !m_context.records.isEjected(place->upstream.id, now);
}

PlacementQuestion PlaceStep::question(VersionRule versions,
                                      const std::set<std::string>& tried) const {
    const Admission& admission = m_request.admission;
    return {admission.service,
            admission.spec,
            &admission.route->allowedRegions,
            admission.teamAllowedRegions,
            m_request.facts.sharedParts,
            tried,
            m_request.draw,
            std::move(versions)};
}

void PlaceStep::noteLeftOut(Refusal& refusal) const {
    const MonoTime now = ReadClocks().mono;
    const auto leftOut =
        AllLeftOut(m_context.placement(), question(versionRule(false, now), m_tried), now);
    if (!leftOut) {
        return;
    }
    m_context.log.leftOut(m_request.facts.id, *leftOut);
    if (leftOut->wait()) {
        refusal.retryAfter = std::max(*leftOut->wait(), kRetryAfterNoUpstreamMs);
    }
}

}  // namespace onyx
