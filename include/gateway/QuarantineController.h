// Keeps requests that crash upstreams from them: gathers the crashes that this box sees and those
// that other boxes startRounds of, and says which requests are in quarantine.
//
// Owns the quarantine and what is told of it. Relies on CrashDetector for what is a crash, on
// RequestQuarantine for which request is the cause, on CrashExchange for whom to startRounds, and
// on PeerMesh for the links.
#pragma once

#include "include/gateway/CrashDetector.h"
#include "include/gateway/CrashExchange.h"
#include "include/gateway/PeerMesh.h"
#include "include/gateway/RequestLog.h"

#include <optional>
#include <random>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class QuarantineController {
public:
    // Preconditions: all arguments outlive the controller.
    QuarantineController(asio::io_context& io, const UpstreamRecords& records, PeerMesh& mesh,
                         RequestLog& log);

    // How long the request is to be kept from upstreams, in milliseconds; nothing if it is not.
    // Preconditions: none.
    std::optional<Millis> timeLeft(uint64_t fingerprint, MonoTime now) const {
        return m_quarantine.timeLeft(fingerprint, now);
    }
    // Whether any request is suspected; if none is, fingerprints need not be computed.
    // Preconditions: none.
    bool hasCrashRecords() const { return !m_quarantine.empty(); }

    // The upstream ended the connection of a running attempt, or started again meanwhile.
    // Preconditions: none.
    void noteInterruptedAttempt(const Upstream& upstream, InterruptedAttempt attempt) {
        m_detector.noteInterruptedAttempt(upstream, std::move(attempt));
    }
    // An upstream answered the request with success. Preconditions: none.
    void noteAnswer(uint64_t fingerprint);

    // What comes over the links. Preconditions: none.
    void onLinked(const std::string& address);
    void onReports(const std::string& from, const wire::CrashReportsT& reports);

    // Forgets what is too old to count. Preconditions: times do not fall.
    void expire(MonoTime now);

private:
    void noteCrash(const Upstream& upstream, std::span<const InterruptedAttempt> attempts);
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
    bool m_roundsRunning = false;  // Rounds are under way.
};

}  // namespace onyx
