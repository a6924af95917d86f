// QuarantineController keeps requests that crash upstreams away from them. It collects the crashes
// that this box sees and those that other boxes report, and answers which requests are in
// quarantine.
//
// Owns the quarantine and the reports about it. Relies on CrashDetector to detect crashes, on
// RequestQuarantine to decide which request is the cause, on CrashExchange to select the boxes that
// receive reports, and on PeerMesh for the links.
#pragma once

#include "include/peers/CrashExchange.h"
#include "include/peers/PeerMesh.h"
#include "include/request/CrashDetector.h"
#include "include/request/RequestLog.h"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class QuarantineController {
public:
    // Time between two log lines on the evidence of one fingerprint, in milliseconds.
    static constexpr Millis kEvidencePeriod = 1000;

    // Preconditions: all arguments outlive the controller.
    QuarantineController(asio::io_context& io, const UpstreamRecords& records,
                         const UpstreamList& upstreams, PeerMesh& mesh, RequestLog& log);

    // Returns why the request `id` with these fingerprints, its own and those of the shared parts
    // of its prompt, is refused; nothing if it is not. Logs the evidence for and against each
    // fingerprint under which upstreams crashed, at most once in kEvidencePeriod for each.
    // Preconditions: `now` does not decrease between calls.
    std::optional<QuarantineCause> check(const std::string& id,
                                         std::span<const uint64_t> fingerprints, MonoTime now);
    // Returns whether a crash is on record for any request. If not, callers need not compute
    // fingerprints. Preconditions: none.
    bool hasCrashRecords() const { return !m_quarantine.empty(); }
    // Whether a request with these fingerprints is refused now. Logs nothing. Preconditions: none.
    bool isQuarantined(std::span<const uint64_t> fingerprints, MonoTime now) const {
        return m_quarantine.causeOf(fingerprints, now).has_value();
    }

    // Records that the upstream closed the connection of a running attempt, or restarted while the
    // attempt was running. Preconditions: none.
    void noteInterruptedAttempt(const Upstream& upstream, InterruptedAttempt attempt) {
        m_detector.noteInterruptedAttempt(upstream, std::move(attempt));
    }
    // Records that an upstream answered the request with success, in an attempt that began at
    // `sent`. Preconditions: none.
    void noteAnswer(uint64_t fingerprint, MonoTime sent);
    // Records a whole answer to a request with these parts of a prompt, whose attempt began at
    // `sent`. Preconditions: none.
    void notePartAnswers(std::span<const uint64_t> parts, MonoTime sent);
    // Records that the attempt with these fingerprints that began at `sent` is being answered, and
    // that it has ended. Preconditions: noteAnswerBegun() is called at most once for an attempt.
    void noteAnswerBegun(std::span<const uint64_t> fingerprints, MonoTime sent);
    void noteAttemptEnded(std::span<const uint64_t> fingerprints, MonoTime sent);

    // Handle a new link to a box, and the reports that a linked box sends. Preconditions: none.
    void onLinked(const std::string& address);
    void onReports(const std::string& from, const wire::CrashReportsT& reports);

    // Drops crashes that are too old to count, and reports the size of the quarantine and of the
    // send queues to RequestLog. Preconditions: `now` does not decrease between calls.
    void expire(MonoTime now);

private:
    void noteCrash(const Upstream& upstream, std::span<const InterruptedAttempt> attempts);
    void record(const Upstream& upstream, uint64_t fingerprint, const InterruptedAttempt& attempt);
    void logEvidence(const std::string& id, std::span<const uint64_t> fingerprints,
                     const std::optional<QuarantineCause>& cause, MonoTime now);
    void noteQuarantined(uint64_t fingerprint, const std::string& source);
    void startRounds();
    Task<> runRounds();

    asio::io_context& m_io;
    PeerMesh& m_mesh;
    RequestLog& m_log;
    CrashDetector m_detector;
    RequestQuarantine m_quarantine;
    CrashExchange m_exchange{m_quarantine};
    std::mt19937 m_random{std::random_device{}()};
    std::map<uint64_t, MonoTime> m_evidenceLogged;  // When, by fingerprint.
    bool m_roundsRunning = false;                   // Whether the task runRounds is running.
};

}  // namespace onyx
