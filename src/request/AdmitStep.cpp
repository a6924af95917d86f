#include "include/request/AdmitStep.h"

#include "include/request/RelayHeaders.h"

#include <charconv>

namespace onyx {

namespace {

// The version of the configuration on which the relaying box decided; 0 if it cannot be read.
uint64_t RelayedVersion(std::string_view text) {
    uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

}  // namespace

std::optional<Refusal> AdmitStep::admitFirst() {
    if (auto refusal = checkRelayed()) {
        return refusal;
    }
    if (auto refusal = admit({})) {
        return refusal;
    }
    std::optional<Refusal> refusal = checkRelayedService();
    m_taken = !refusal;
    return refusal;
}

// Why this box does not handle a request that another box relays; nothing if it does, or if the
// request is a caller's.
std::optional<Refusal> AdmitStep::checkRelayed() {
    if (!m_request.fromBox) {
        return std::nullopt;
    }
    const uint64_t version = RelayedVersion(m_request.message[kRelayHeader]);
    m_request.message.erase(kRelayHeader);
    const ConfigurationState& configuration = m_context.configuration;
    const bool behind = !configuration.catalog() || configuration.version() < version;
    if (behind || m_context.lifecycle.draining() || m_context.relays.isFull()) {
        return MakeRefusal(RefusalReason::kNoUpstream);
    }
    return std::nullopt;
}

std::optional<Refusal> AdmitStep::checkRelayedService() const {
    const bool lost = m_request.fromBox && m_context.reach.isLost(m_request.admission.service);
    return lost ? std::optional<Refusal>(MakeRefusal(RefusalReason::kNoUpstream)) : std::nullopt;
}

std::optional<Refusal> AdmitStep::admitByHead() {
    if (auto refusal = checkRelayed()) {
        return refusal;
    }
    return decide({}, ReadClocks().mono);
}

std::optional<Refusal> AdmitStep::admit(std::string_view service) {
    const MonoTime now = ReadClocks().mono;
    if (auto refusal = decide(service, now)) {
        return refusal;
    }
    m_context.log.admitted(m_request.admission, m_catalogAge);
    return checkQuarantine(now);
}

std::variant<Admission, Refusal> AdmitStep::ask(std::string_view service,
                                                const AdmissionState& knowledge) const {
    const AdmissionRequest request{m_request.message[boost::beast::http::field::host],
                                   m_request.message.target(),
                                   m_request.facts.credential,
                                   m_request.facts.clientTimeout,
                                   m_request.arrived,
                                   m_request.draw,
                                   service,
                                   m_taken};
    return Admit(m_context.settings.admission, knowledge, request);
}

bool AdmitStep::wouldAdmit(std::string_view service, bool begun) const {
    const MonoTime now = ReadClocks().mono;
    const bool hasCrashes = m_context.quarantine.hasCrashRecords();  // Otherwise no hash is due.
    if (hasCrashes && m_context.quarantine.isQuarantined(m_request.fingerprints(), now)) {
        return false;
    }
    const AdmissionState knowledge =
        KnowledgeOf(m_context.configuration, m_context.upstreams, m_context.lifecycle, now);
    return begun || std::holds_alternative<Admission>(ask(service, knowledge));
}

std::optional<Refusal> AdmitStep::decide(std::string_view service, MonoTime now) {
    const AdmissionState knowledge =
        KnowledgeOf(m_context.configuration, m_context.upstreams, m_context.lifecycle, now);
    m_decidedOn = m_context.configuration.report(now);
    auto decided = ask(service, knowledge);
    if (auto* refusal = std::get_if<Refusal>(&decided)) {
        return std::move(*refusal);
    }
    m_request.admission = std::get<Admission>(std::move(decided));
    m_catalogAge = knowledge.catalogAge;
    return std::nullopt;
}

std::optional<Refusal> AdmitStep::checkQuarantine(MonoTime now) {
    if (!m_context.quarantine.hasCrashRecords()) {
        return std::nullopt;
    }
    const auto cause =
        m_context.quarantine.check(m_request.facts.id, m_request.fingerprints(), now);
    if (!cause) {
        return std::nullopt;
    }
    const bool isPart = cause->fingerprint != m_request.fingerprint();
    Refusal refusal =
        MakeRefusal(isPart ? RefusalReason::kPartQuarantined : RefusalReason::kQuarantined);
    refusal.retryAfter = cause->left;
    refusal.fingerprint = cause->fingerprint;
    return refusal;
}

ConfigurationReport AdmitStep::decidedOn() const {
    return m_decidedOn.value_or(m_context.configuration.report(ReadClocks().mono));
}

}  // namespace onyx
