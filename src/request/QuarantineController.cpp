#include "include/request/QuarantineController.h"

#include "include/base/Hash.h"
#include "include/health/RequestFingerprint.h"

#include <map>

namespace onyx {

namespace {

// An upstream crashes once in each of its lives, so this identifies the crash.
uint32_t IncarnationHash(const Upstream& upstream) {
    return ShortHash(upstream.id + "@" + std::to_string(upstream.startedMs));
}

}  // namespace

QuarantineController::QuarantineController(asio::io_context& io, const UpstreamRecords& records,
                                           const UpstreamList& upstreams, PeerMesh& mesh,
                                           RequestLog& log)
    : m_io(io),
      m_mesh(mesh),
      m_log(log),
      m_detector(io, records, upstreams,
                 [this](const Upstream& upstream, std::span<const InterruptedAttempt> attempts) {
                     noteCrash(upstream, attempts);
                 }) {}

std::optional<QuarantineCause> QuarantineController::check(const std::string& id,
                                                           std::span<const uint64_t> fingerprints,
                                                           MonoTime now) {
    const std::optional<QuarantineCause> cause = m_quarantine.causeOf(fingerprints, now);
    logEvidence(id, fingerprints, cause, now);
    return cause;
}

void QuarantineController::logEvidence(const std::string& id,
                                       std::span<const uint64_t> fingerprints,
                                       const std::optional<QuarantineCause>& cause, MonoTime now) {
    for (const uint64_t fingerprint : fingerprints) {
        const CrashEvidence evidence = m_quarantine.evidenceOf(fingerprint, fingerprints, now);
        const auto last = m_evidenceLogged.find(fingerprint);
        const bool isDue = last == m_evidenceLogged.end() || now - last->second >= kEvidencePeriod;
        if (!isDue || evidence.known + evidence.dropped < RequestQuarantine::kCrashThreshold) {
            continue;
        }
        m_evidenceLogged[fingerprint] = now;
        m_log.crashEvidence(id, evidence, cause && cause->fingerprint == fingerprint);
    }
}

void QuarantineController::noteAnswer(uint64_t fingerprint, MonoTime sent) {
    m_exchange.noteAnswer(fingerprint, sent, ReadClocks().mono);
    startRounds();
}

void QuarantineController::noteCrash(const Upstream& upstream,
                                     std::span<const InterruptedAttempt> attempts) {
    // Of the attempts with a part, the one that was sent last says the most about it.
    std::map<uint64_t, const InterruptedAttempt*> parts;
    for (const InterruptedAttempt& attempt : attempts) {
        m_log.crashed(upstream.id, attempt);
        record(upstream, attempt.fingerprint, attempt);
        for (const std::string& part : attempt.sharedParts) {
            const InterruptedAttempt*& last = parts[PartFingerprint(part)];
            last = last == nullptr || last->sent < attempt.sent ? &attempt : last;
        }
    }
    for (const auto& [part, attempt] : parts) {
        record(upstream, part, *attempt);
    }
    startRounds();
}

void QuarantineController::record(const Upstream& upstream, uint64_t fingerprint,
                                  const InterruptedAttempt& attempt) {
    const CrashObservation observation{fingerprint, static_cast<uint32_t>(m_random()),
                                       IncarnationHash(upstream), attempt.sent, attempt.ended};
    if (m_exchange.noteCrash(observation, ReadClocks().mono)) {
        noteQuarantined(fingerprint, "here");
    }
}

void QuarantineController::notePartAnswers(std::span<const uint64_t> parts, MonoTime sent) {
    const MonoTime now = ReadClocks().mono;
    for (const uint64_t part : parts) {
        m_exchange.notePartAnswer(part, sent, now);
    }
    startRounds();
}

void QuarantineController::noteAnswerBegun(std::span<const uint64_t> fingerprints, MonoTime sent) {
    m_quarantine.noteAnswerBegun(fingerprints, sent, ReadClocks().mono);
}

void QuarantineController::noteAttemptEnded(std::span<const uint64_t> fingerprints, MonoTime sent) {
    m_quarantine.noteAttemptEnded(fingerprints, sent);
}

void QuarantineController::onLinked(const std::string& address) {
    if (!m_mesh.takesCrashReports(address)) {
        return;
    }
    if (auto frame = m_exchange.makeInitialFrame(ReadClocks().mono)) {
        m_mesh.sendEncoded({{address}, std::move(*frame)});
    }
}

void QuarantineController::onReports(const std::string& from, const wire::CrashReportsT& reports) {
    for (const uint64_t fingerprint : m_exchange.handleReports(from, reports, ReadClocks().mono)) {
        noteQuarantined(fingerprint, from);
    }
    startRounds();
}

void QuarantineController::noteQuarantined(uint64_t fingerprint, const std::string& source) {
    m_log.quarantined(fingerprint, m_quarantine.crashCount(fingerprint), source);
}

void QuarantineController::expire(MonoTime now) {
    m_quarantine.expire(now);
    std::erase_if(m_evidenceLogged,
                  [&](const auto& entry) { return now - entry.second >= kEvidencePeriod; });
    m_log.quarantineSize(m_quarantine.quarantined(now), m_exchange.pendingCount());
}

void QuarantineController::startRounds() {
    if (!m_roundsRunning && m_exchange.hasPending(ReadClocks().mono)) {
        m_roundsRunning = true;
        Spawn(m_io.get_executor(), runRounds());
    }
}

Task<> QuarantineController::runRounds() {
    while (m_exchange.hasPending(ReadClocks().mono)) {
        const std::vector<std::string> linked = m_mesh.linkedTakingCrashReports();
        const MonoTime now = ReadClocks().mono;
        for (const OutgoingFrame& outgoing :
             m_exchange.makeRoundFrames(m_mesh.address(), linked, now)) {
            m_mesh.sendEncoded(outgoing);
        }
        co_await SleepFor(CrashExchange::kRoundPeriod);
    }
    m_roundsRunning = false;
}

}  // namespace onyx
