#include "include/request/RequestLog.h"

#include "include/base/HttpStatus.h"
#include "include/health/RequestFingerprint.h"
#include "include/observe/Events.h"
#include "include/request/RelayHeaders.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace onyx {

namespace {

constexpr Millis kClosedLogInterval = 1000;

std::string YesNo(bool value) {
    return value ? "yes" : "no";
}

template <class Number>
std::string NumberOr(const std::optional<Number>& number, const char* otherwise) {
    return number ? std::to_string(*number) : otherwise;
}

}  // namespace

void RequestLog::admitted(const Admission& admission, std::optional<Millis> configurationAge) {
    if (admission.stale) {
        m_metrics.count("onyx_stale_decisions_total");
    }
    if (m_servesStale == admission.stale) {
        return;
    }
    m_servesStale = admission.stale;
    logEvent(Event::kServingStale, {{"stale", YesNo(admission.stale)},
                                    {"configuration", std::to_string(admission.catalog->version())},
                                    {"age_ms", NumberOr(configurationAge, "none")}});
}

void RequestLog::attemptStarted(const CallerFacts& facts, int attempt, const AttemptPlace& place,
                                Millis after) {
    const auto& source = place.source;
    const std::string_view sourceReason =
        source ? CacheSourceReasonName(source->reason) : std::string_view();
    logEvent(Event::kAttemptStarted,
             {{"request", facts.id},
              {"attempt", std::to_string(attempt)},
              {"upstream", place.upstream.id},
              {"version", place.upstream.version},
              {"stream", facts.streamId()},
              {"last_event", NumberOr(facts.lastEventId, "none")},
              {"reason", std::string(PlacementReasonName(place.reason))},
              {"load", std::to_string(place.loads.load)},
              {"load_reported", YesNo(place.loads.reported)},
              {"report_age_ms", NumberOr(place.loads.reportAge, "none")},
              {"mean_load", fmt::format("{:.1f}", place.loads.meanLoad)},
              {"load_bound", std::to_string(place.loads.bound)},
              {"boxes_heard", std::to_string(place.loads.peersWithLoads)},
              {"left_out", place.leftOut.text()},
              {"prompt", facts.sharedParts.empty() ? std::string() : facts.sharedParts.back()},
              {"prompt_tokens", std::to_string(facts.promptTokens)},
              {"cache_source", source ? source->upstream.id : std::string()},
              {"cache_reason", std::string(sourceReason)},
              {"after_ms", std::to_string(after)}});
}

void RequestLog::streamTakenUp(const CallerFacts& facts, const StreamOriginReport& report) {
    const std::string source(StreamOriginSourceName(report.found.source));
    m_metrics.count("onyx_streams_taken_up_total", {{"source", source}});
    logEvent(Event::kStreamTakenUp, {{"request", facts.id},
                                     {"stream", facts.streamId()},
                                     {"last_event", NumberOr(facts.lastEventId, "none")},
                                     {"source", source},
                                     {"service", report.found.origin.service},
                                     {"version", report.found.origin.version},
                                     {"asked", std::to_string(report.asked)},
                                     {"replied", std::to_string(report.replied)},
                                     {"took_ms", std::to_string(report.took)}});
}

void RequestLog::noRoom(const std::string& request, const Admission& admission,
                        const NoRoom& decision) {
    const std::string priority = std::to_string(admission.priority);
    m_metrics.count("onyx_room_refused_total",
                    {{"service", admission.service.value}, {"priority", priority}});
    logEvent(Event::kRequestNoRoom, {{"request", request},
                                     {"service", admission.service.value},
                                     {"priority", priority},
                                     {"team", admission.team.value},
                                     {"fraction", fmt::format("{:.3f}", decision.fraction)},
                                     {"decided_by", decision.ownShares ? "own" : "site"},
                                     {"retry_after_ms", std::to_string(decision.retryAfter)}});
}

void RequestLog::sent(const ServiceId& service) {
    m_metrics.count("onyx_sends_total", {{"service", service.value}});
}

void RequestLog::relayed(const std::string& request, const RelayReport& report) {
    const std::string end(report.unavailable ? kRelayUnavailable : AttemptEndName(report.end));
    m_metrics.count("onyx_requests_relayed_total", {{"end", end}});
    logEvent(Event::kRequestRelayed, {{"request", request},
                                      {"box", report.box},
                                      {"end", end},
                                      {"timed_out", YesNo(report.timedOut)},
                                      {"took_ms", std::to_string(report.took)}});
}

void RequestLog::headUnreadable(const std::string& request, const std::string& upstream,
                                const std::string& problem) {
    logEvent(Event::kAnswerHeadBad,
             {{"request", request}, {"upstream", upstream}, {"why", problem}});
}

void RequestLog::ejected(const std::string& upstream, AttemptEnd after) {
    logEvent(Event::kUpstreamEjected,
             {{"upstream", upstream}, {"after", std::string(AttemptEndName(after))}});
}

void RequestLog::attemptEnded(const std::string& request, const AttemptReport& report,
                              const Verdict& verdict) {
    const std::string end(AttemptEndName(report.end));
    m_metrics.count("onyx_send_ends_total", {{"end", end}});
    if (report.end == AttemptEnd::kAnswered) {
        return;
    }
    const ConnectionReport& connection = report.connection;
    logEvent(Event::kAttemptEnded,
             {{"request", request},
              {"upstream", report.upstream},
              {"version", report.version},
              {"stream", report.stream},
              {"end", end},
              {"answer_status", NumberOr(report.answerStatus, "none")},
              {"timed_out", YesNo(report.timedOut)},
              {"unreachable", YesNo(report.unreachable)},
              {"took_ms", std::to_string(report.took)},
              {"connection", connection.kept ? "kept" : "new"},
              {"connection_number", std::to_string(connection.number)},
              {"rested_ms", std::to_string(connection.idle)},
              {"connect_error", connection.connectError},
              {"ended_by", std::string(ConnectionEndName(connection.end))},
              {"unacknowledged", NumberOr(connection.unacknowledged, "unknown")},
              {"fingerprint", report.fingerprint ? FingerprintText(*report.fingerprint) : ""},
              {"leaving", YesNo(report.leaving)},
              {"backoff_ms", NumberOr(report.backoff, "none")},
              {"retried", YesNo(verdict.step == NextStep::kRetry)},
              {"why", std::string(StepReasonName(verdict.reason))}});
}

void RequestLog::backsOff(const std::string& upstream, Millis time) {
    m_metrics.count("onyx_upstream_backoffs_total");
    logEvent(Event::kUpstreamBacksOff,
             {{"upstream", upstream}, {"backoff_ms", std::to_string(time)}});
}

void RequestLog::leaves(const std::string& upstream) {
    logEvent(Event::kUpstreamLeaves, {{"upstream", upstream}});
}

void RequestLog::leftOut(const std::string& request, const ExclusionTally& upstreams) {
    for (size_t i = 0; i < kExclusionReasonCount; ++i) {
        const auto reason = static_cast<ExclusionReason>(i);
        m_metrics.count("onyx_upstreams_left_out_total",
                        {{"reason", std::string(ExclusionReasonName(reason))}},
                        upstreams.count(reason));
    }
    logEvent(Event::kAllLeftOut, {{"request", request},
                                  {"left_out", upstreams.text()},
                                  {"wait_ms", NumberOr(upstreams.wait(), "unknown")}});
}

void RequestLog::crashed(const std::string& upstream, const InterruptedAttempt& attempt) {
    m_metrics.count("onyx_upstream_crashes_total");
    logEvent(Event::kUpstreamCrashed,
             {{"upstream", upstream},
              {"request", attempt.request},
              {"fingerprint", FingerprintText(attempt.fingerprint)},
              {"parts", fmt::format("{}", fmt::join(attempt.sharedParts, ","))},
              {"ran_ms", std::to_string(attempt.ended - attempt.sent)}});
}

void RequestLog::quarantined(uint64_t fingerprint, size_t crashes, const std::string& source) {
    logEvent(Event::kRequestQuarantined, {{"fingerprint", FingerprintText(fingerprint)},
                                          {"crashes", std::to_string(crashes)},
                                          {"source", source}});
}

void RequestLog::crashEvidence(const std::string& request, const CrashEvidence& evidence,
                               bool refused) {
    m_metrics.count("onyx_crash_evidence_total", {{"decision", refused ? "refused" : "sent"}});
    logEvent(
        Event::kCrashEvidence,
        {{"request", request},
         {"fingerprint", FingerprintText(evidence.fingerprint)},
         {"decision", refused ? "refused" : "sent"},
         {"counted", std::to_string(evidence.counted)},
         {"known", std::to_string(evidence.known)},
         {"dropped", std::to_string(evidence.dropped)},
         {"answered_ms_ago", NumberOr(evidence.answeredAgo, "never")},
         {"explained_by", evidence.explainedBy ? FingerprintText(*evidence.explainedBy) : "none"}});
}

void RequestLog::quarantineSize(size_t requests, size_t waiting) {
    m_metrics.set("onyx_quarantined_requests", {}, static_cast<double>(requests));
    m_metrics.set("onyx_crash_reports_waiting", {}, static_cast<double>(waiting));
}

// What is not known of a request that was not admitted counts as "unknown".
void RequestLog::countForBudget(const RequestReport& request, const Admission* admission,
                                bool good) {
    if (request.forBox) {
        return;
    }
    const std::string unknown = "unknown";
    const MetricLabels labels = {
        {"service", admission ? admission->service.value : unknown},
        {"team", admission ? admission->team.value : unknown},
        {"priority", admission ? std::to_string(admission->priority) : unknown}};
    m_metrics.count("onyx_slo_total", labels);
    m_metrics.count("onyx_slo_bad_total", labels, good ? 0 : 1);
}

void RequestLog::refused(const RequestReport& request, const Admission* admission,
                         const Refusal& refusal, const ConfigurationReport& configuration,
                         Millis bound) {
    logEvent(Event::kRequestRefused,
             {{"request", request.id},
              {"status", std::to_string(refusal.status)},
              {"reason", refusal.text},
              {"fingerprint", refusal.fingerprint ? FingerprintText(*refusal.fingerprint) : ""},
              {"for_box", YesNo(request.forBox)},
              {"phase", std::string(LifecyclePhaseName(request.phase))},
              {"since_stop_ms", NumberOr(request.sinceStopSignal, "none")},
              {"upstream", request.upstream},
              {"may_have_run", YesNo(request.mayHaveRun)},
              {"configuration", NumberOr(configuration.version, "none")},
              {"knowledge_age_ms", NumberOr(configuration.age, "none")},
              {"bound_ms", std::to_string(bound)},
              {"superseded", YesNo(configuration.superseded)},
              {"confirmed_by", configuration.confirmedBy},
              {"confirmed_ms_ago", NumberOr(configuration.confirmedAgo, "never")}});
    m_metrics.count("onyx_refusals_total",
                    {{"status", std::to_string(refusal.status)}, {"why", refusal.text}});
    // What callers did wrong is no failure of the service.
    if (refusal.status >= HttpStatus::kFirstServerError) {
        countForBudget(request, admission, false);
    }
}

void RequestLog::done(const RequestReport& request, const Admission& admission,
                      std::string_view outcome, std::optional<StepReason> why) {
    const Route& route = *admission.route;
    const std::string reason(why ? StepReasonName(*why) : std::string_view());
    const std::string phase(LifecyclePhaseName(request.phase));
    if (outcome == kStreamBroken) {
        m_metrics.count("onyx_answers_cut_total", {{"why", reason}, {"phase", phase}});
    }
    if (outcome != kCallerGone) {
        const bool inTime = request.firstByte && *request.firstByte <= route.objective;
        const bool answered =
            outcome == kAnswered && request.status < HttpStatus::kFirstServerError;
        countForBudget(request, &admission, answered && inTime);
    }
    m_metrics.count("onyx_requests_total", {{"outcome", std::string(outcome)}});
    m_metrics.observe("onyx_request_ms", {{"route", route.name}},
                      static_cast<double>(request.took));
    logEvent(Event::kRequestDone, {{"request", request.id},
                                   {"route", route.name},
                                   {"team", admission.team.value},
                                   {"outcome", std::string(outcome)},
                                   {"why", reason},
                                   {"phase", phase},
                                   {"since_stop_ms", NumberOr(request.sinceStopSignal, "none")},
                                   {"for_box", YesNo(request.forBox)},
                                   {"status", std::to_string(request.status)},
                                   {"upstream", request.upstream},
                                   {"sends", std::to_string(request.attempts)},
                                   {"configuration", std::to_string(admission.catalog->version())},
                                   {"took_ms", std::to_string(request.took)}});
}

void RequestLog::callerEvicted(const CallerActivity& connection) {
    switch (connection.phase) {
        case CallerPhase::kWriting:
            return noteClosed("untaken-answer");
        case CallerPhase::kEnding:
            return noteClosed("ending");
        default:
            return noteClosed(connection.wasServed ? "kept" : "no-request");
    }
}

void RequestLog::callerTurnedAway() {
    noteClosed("new");
}

// A crowd opens connections by the thousand: the metric counts each, one line a second tells of it.
void RequestLog::noteClosed(std::string_view what) {
    m_metrics.count("onyx_caller_connections_closed_total", {{"what", std::string(what)}});
    const MonoTime now = ReadClocks().mono;
    if (now - m_closedLogged < kClosedLogInterval) {
        return;
    }
    m_closedLogged = now;
    logEvent(Event::kCallerClosed, {{"what", std::string(what)}});
}

void RequestLog::badRequest(unsigned status, const std::string& problem) {
    logEvent(Event::kCallerBad, {{"status", std::to_string(status)}, {"why", problem}});
    m_metrics.count("onyx_bad_requests_total", {{"status", std::to_string(status)}});
}

}  // namespace onyx
