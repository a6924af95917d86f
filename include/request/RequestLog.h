// The log lines and metrics of requests, in one place: what each decision was made on, why, and
// what came of it. docs/EVENTS.md says what each line means.
//
// Owns whether requests are being decided on a stale configuration, which is logged when it
// changes.
#pragma once

#include "include/admission/Admission.h"
#include "include/admission/ConnectionEviction.h"
#include "include/admission/RoomGate.h"
#include "include/dialect/Dialect.h"
#include "include/health/RequestQuarantine.h"
#include "include/lifecycle/Drain.h"
#include "include/observe/Metrics.h"
#include "include/peers/StreamController.h"
#include "include/relay/RequestAttempts.h"
#include "include/request/ConnectionReport.h"
#include "include/request/CrashDetector.h"
#include "include/request/PlaceAttempt.h"
#include "include/state/ConfigurationState.h"

#include <optional>
#include <string>
#include <string_view>

namespace onyx {

// How an attempt went, as its log line has it.
struct AttemptReport {
    std::string upstream;
    std::string version;  // Of the upstream's software; empty: unknown.
    std::string stream;   // See CallerFacts::streamId().
    AttemptEnd end = AttemptEnd::kUnclear;
    std::optional<unsigned> answerStatus;  // Of the upstream's answer, if its head came.
    bool timedOut = false;                 // It ended for lack of time.
    bool unreachable = false;              // The upstream's machine gave no sign of life.
    bool upstreamEnded = false;  // The upstream closed or started again while it ran the request.
    std::optional<uint64_t> fingerprint;  // Of the request, where the upstream ended.
    bool leaving = false;                 // The upstream's answer says that it is about to end.
    std::optional<Millis> backoff;        // It asks for no requests for so long.
    Millis took = 0;
    std::optional<Millis> firstByte;  // After the attempt began; empty: the caller got none of it.
    ConnectionReport connection;
};

// How a try to relay a request ended.
struct RelayReport {
    std::string box;
    AttemptEnd end = AttemptEnd::kNotSent;
    bool unavailable = false;  // The box cannot serve the request now; it has not run.
    bool timedOut = false;
    std::optional<Millis> retryAfter;  // When the box says that the caller may retry.
    Millis took = 0;
};

// What the log says of a request at its end.
struct RequestReport {
    std::string id;
    bool forBox = false;   // Another box relayed it, which counts it for the error budgets.
    std::string upstream;  // Of the last attempt.
    int attempts = 0;
    bool mayHaveRun = false;
    unsigned status = 0;  // That the caller received, 0 if none.
    Millis took = 0;
    std::optional<Millis> firstByte;  // After the request came; nothing: the caller got none.
    LifecyclePhase phase = LifecyclePhase::kServing;  // Of this box, at the end.
    std::optional<Millis> sinceStopSignal;            // Nothing: none came.
};

// How a request that was not refused ended, as it stands in the log.
inline constexpr std::string_view kAnswered = "answered";
inline constexpr std::string_view kStreamBroken = "stream-broken";
inline constexpr std::string_view kCallerGone = "caller-gone";

// Not thread safe: one io_context.
class RequestLog {
public:
    // Preconditions: the metrics outlive the log.
    explicit RequestLog(Metrics& metrics) : m_metrics(metrics) {}

    // A request was admitted. Preconditions: none.
    void admitted(const Admission& admission, std::optional<Millis> configurationAge);

    // An attempt begins, `after` milliseconds after the request came. `attempt`: its number,
    // from 1. Preconditions: none.
    void attemptStarted(const CallerFacts& facts, int attempt, const AttemptPlace& place,
                        Millis after);

    // A caller takes a stream up, and the search for the version that began it has ended.
    // Preconditions: none.
    void streamTakenUp(const CallerFacts& facts, const StreamOriginReport& report);

    // A request is refused for want of room. Preconditions: none.
    void noRoom(const std::string& request, const Admission& admission, const NoRoom& decision);

    // The request goes out to an upstream. Preconditions: none.
    void sent(const ServiceId& service);

    // A connection to an upstream is opened. Preconditions: none.
    void connecting() { m_metrics.count("onyx_upstream_connections_total"); }

    // An attempt ended, and what follows. Preconditions: none.
    void attemptEnded(const std::string& request, const AttemptReport& report,
                      const Verdict& verdict);

    // A try to have another box handle a request has ended. Preconditions: none.
    void relayed(const std::string& request, const RelayReport& report);

    // A header of an upstream's answer cannot be read; the answer goes on without it.
    // Preconditions: none.
    void headUnreadable(const std::string& request, const std::string& upstream,
                        const std::string& problem);

    // An attempt led to the ejection of its upstream. Preconditions: none.
    void ejected(const std::string& upstream, AttemptEnd after);

    // An upstream gets no requests from this box for so long, since it asked for that.
    // Preconditions: none.
    void backsOff(const std::string& upstream, Millis time);

    // An upstream said in an answer that it is about to end. Preconditions: none.
    void leaves(const std::string& upstream);

    // A request finds no upstream that may be sent to, for these reasons. Preconditions: none.
    void leftOut(const std::string& request, const ExclusionTally& upstreams);

    // An upstream crashed with this attempt under way. Preconditions: none.
    void crashed(const std::string& upstream, const InterruptedAttempt& attempt);

    // A request is in quarantine from now on. `source`: the box that told the last crash, or
    // "here". Preconditions: none.
    void quarantined(uint64_t fingerprint, size_t crashes, const std::string& source);
    // A request was admitted or refused although, or because, upstreams crashed under a fingerprint
    // of it. Preconditions: none.
    void crashEvidence(const std::string& request, const CrashEvidence& evidence, bool refused);
    // How many requests are in quarantine, and how many crashes and answers wait to be told.
    // Preconditions: none.
    void quarantineSize(size_t requests, size_t waiting);

    // This box answered by itself. `admission`: null if the request was not admitted.
    // `configuration`: as of the decision. `bound`: the age up to which the box may say with it
    // that a route or a credential does not exist, in milliseconds. Preconditions: none.
    void refused(const RequestReport& request, const Admission* admission, const Refusal& refusal,
                 const ConfigurationReport& configuration, Millis bound);

    // The request was answered, its caller left, or this box ended its answer. `why`: of the last
    // step, where this box chose it; otherwise nothing. Preconditions: none.
    void done(const RequestReport& request, const Admission& admission, std::string_view outcome,
              std::optional<StepReason> why = std::nullopt);

    // A caller's connection is closed for a new one; or the new one is, since no other may be.
    // Preconditions: none.
    void callerEvicted(const CallerActivity& connection);
    void callerTurnedAway();

    // What a caller sent is no request. Preconditions: none.
    void badRequest(unsigned status, const std::string& problem);

private:
    // Counts a request for the report on error budgets (Burn.h). `good`: it was answered, not by a
    // server's error, and its first byte came within the route's objective.
    void countForBudget(const RequestReport& request, const Admission* admission, bool good);

    void noteClosed(std::string_view what);

    Metrics& m_metrics;
    MonoTime m_closedLogged;     // When a closed connection was logged last.
    bool m_servesStale = false;  // The last request was decided on a stale configuration.
};

}  // namespace onyx
