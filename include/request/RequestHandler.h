// One request of a caller, from its head to the last byte of its answer, as a chain of steps: read
// the head, admit, place an attempt, make it, see what follows, until there is an answer. Each step
// asks a rule (docs/DECISIONS.md) and carries out what it says.
//
// Owns the request and what became of its attempts. Relies on RequestContext for the rest.
#pragma once

#include "include/relay/RequestAttempts.h"
#include "include/relay/StreamRecords.h"
#include "include/request/AnswerRelay.h"
#include "include/request/Attempt.h"
#include "include/request/CallerConnection.h"
#include "include/request/RelayAttempt.h"
#include "include/request/RequestContext.h"

#include <optional>
#include <set>
#include <string>

namespace onyx {

// What is to become of the caller's connection after a request.
enum class AfterAnswer : uint8_t { kKeep, kClose, kAborted };

// Not thread safe: one io_context, one task.
class RequestHandler {
public:
    // Preconditions: context and caller outlive the request.
    RequestHandler(RequestContext& context, CallerConnection& caller, ReadRequest request);

    // Answers the request. Preconditions: called once.
    Task<AfterAnswer> run();

private:
    std::optional<Refusal> readHead();
    std::optional<Refusal> admit();
    std::optional<Refusal> checkQuarantine(MonoTime now);
    // Why this box does not handle a request that another box relays; nothing if it does, or if the
    // request is a caller's.
    std::optional<Refusal> checkRelayed();
    std::optional<Refusal> checkRelayedService() const;
    Task<AfterAnswer> serve();
    // Finds the version that began the stream which the request takes up; a refusal if no box knows
    // it, nothing otherwise.
    Task<std::optional<Refusal>> findStreamOrigin();
    void noteStreamBegun();
    // How the stream is found again; by what is asked for where the caller names no request.
    std::vector<StreamKey> streamKeys();
    Millis streamSpan() const;
    std::optional<AttemptPlace> place();
    PlacementQuestion placementQuestion(VersionRule versions) const;
    VersionRule versionRule(bool mayTry, MonoTime now) const;
    VersionRule heldRule(bool mayTry, MonoTime now) const;
    uint64_t promptHash() const;
    void noteAnswer(const AttemptPlace& place, const AttemptReport& report);
    void noteLeftOut(Refusal& refusal) const;
    Task<Verdict> attempt(const AttemptPlace& place);
    Verdict judge(AttemptEnd end);
    // Whether another box should handle the request, because this one reaches no upstream.
    bool shouldRelay() const;
    // Whether the request should be refused without further attempts.
    bool cannotServe() const;
    // Has another box handle the request; nothing if none took it.
    Task<std::optional<Verdict>> relay();
    Verdict judgeRelayed(const RelayReport& report);
    // Tells the box that relayed the request that it has not run.
    void markNotRun(HttpFields& fields, const Refusal& refusal) const;
    // Carries out what is the last step of a request.
    Task<AfterAnswer> conclude(const Verdict& verdict);
    Task<AfterAnswer> deliver();
    Task<AfterAnswer> refuse(const Refusal& refusal);
    AfterAnswer abandon(std::string_view outcome);
    AfterAnswer afterAnswer() const;
    // Stands for this request wherever it comes again. Preconditions: it was admitted.
    uint64_t fingerprint();
    // The request's own and those of the shared parts of its prompt. Preconditions: as above.
    const std::vector<uint64_t>& fingerprints();
    void noteBroken(const Upstream& upstream, const AttemptReport& report);
    RequestReport report() const;

    RequestContext& m_context;
    CallerConnection& m_caller;
    CallerMessage m_message;
    MonoTime m_arrived;
    uint64_t m_draw;  // A random number of this request's own.
    CallerFacts m_facts;
    Admission m_admission;
    std::optional<ConfigurationReport> m_decidedOn;  // At the last admission or its refusal.
    RequestAttempts m_attempts{AttemptRules{}};
    std::optional<AnswerRelay> m_relay;       // Once the head is read.
    bool m_sent = false;                      // Any attempt went out.
    bool m_timedOut = false;                  // The last attempt ended for lack of time.
    std::set<std::string> m_tried;            // Upstreams of the attempts so far.
    std::string m_upstream;                   // Of the last attempt.
    int m_unreached = 0;                      // Attempts in a row that could not connect.
    std::set<std::string> m_triedBoxes;       // To which the request was to be relayed.
    std::optional<Millis> m_relayRetryAfter;  // When the other box says that the caller may retry.
    std::optional<uint64_t> m_fingerprint;    // Once it was asked for.
    std::vector<uint64_t> m_fingerprints;     // Empty until they were asked for.
    MonoTime m_attemptStart;                  // Of the last attempt.
    // What began the request's stream, once its first event is on its way to the caller, or at once
    // where the caller takes the stream up.
    std::optional<StreamOrigin> m_streamOrigin;
    std::string m_version;          // Of the upstream of the attempt under way; empty: unknown.
    bool m_streamRecorded = false;  // The origin was given to StreamController.
};

}  // namespace onyx
