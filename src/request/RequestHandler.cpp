#include "include/request/RequestHandler.h"

#include "include/base/Hash.h"
#include "include/base/HttpStatus.h"
#include "include/health/RequestFingerprint.h"
#include "include/request/HttpText.h"
#include "include/request/RelayHeaders.h"

#include <algorithm>
#include <charconv>

namespace onyx {

namespace http = boost::beast::http;

namespace {

// Attempts in a row that cannot connect, after which another box is asked: the next upstream may be
// out of reach as well.
constexpr int kMaxUnreached = 2;
constexpr size_t kMaxRelayBoxes = 3;  // Boxes that are asked to handle one request.

// The version of the configuration on which the relaying box decided; 0 if it cannot be read.
uint64_t RelayedVersion(std::string_view text) {
    uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

}  // namespace

RequestHandler::RequestHandler(RequestContext& context, CallerConnection& caller,
                               ReadRequest request)
    : m_context(context),
      m_caller(caller),
      m_message(std::move(request.message)),
      m_arrived(request.arrived),
      m_draw(context.random()) {}

Task<AfterAnswer> RequestHandler::run() {
    m_context.lifecycle.recordRequestStart();
    std::optional<Refusal> refusal = readHead();
    if (!refusal) {
        refusal = checkRelayed();
    }
    if (!refusal) {
        refusal = admit();
    }
    if (!refusal) {
        refusal = checkRelayedService();
    }
    AfterAnswer after = AfterAnswer::kClose;
    if (refusal) {
        after = co_await refuse(*refusal);
    } else {
        after = co_await serve();
    }
    if (m_streamRecorded) {
        for (const StreamKey& key : streamKeys()) {
            m_context.streams.end(key);
        }
    }
    m_context.lifecycle.recordRequestEnd();
    co_return after;
}

std::optional<Refusal> RequestHandler::readHead() {
    Result<CallerFacts> facts = m_context.dialect.readCaller(m_message.base());
    if (facts.has_error()) {
        return MakeRefusal(RefusalReason::kBadHead, facts.error().text());
    }
    m_facts = std::move(facts.value());
    if (m_facts.id.empty()) {
        return MakeRefusal(RefusalReason::kNoRequestId);
    }
    m_relay.emplace(m_context.lifecycle, m_caller, m_facts.lastEventId);
    m_relay->setBeginHandler([this] { noteStreamBegun(); });
    return std::nullopt;
}

std::optional<Refusal> RequestHandler::checkRelayed() {
    if (!m_caller.isFromBox()) {
        return std::nullopt;
    }
    const uint64_t version = RelayedVersion(m_message[kRelayHeader]);
    m_message.erase(kRelayHeader);
    const ConfigurationState& configuration = m_context.configuration;
    const bool behind = !configuration.catalog() || configuration.version() < version;
    if (behind || m_context.lifecycle.draining() || m_context.relays.isFull()) {
        return MakeRefusal(RefusalReason::kNoUpstream);
    }
    return std::nullopt;
}

std::optional<Refusal> RequestHandler::checkRelayedService() const {
    const bool lost = m_caller.isFromBox() && m_context.reach.isLost(m_admission.service);
    return lost ? std::optional<Refusal>(MakeRefusal(RefusalReason::kNoUpstream)) : std::nullopt;
}

// Asked again before each further attempt, so that a request that waited is not handled by what is
// no longer in force. A refusal leaves the admission before it as it is.
std::optional<Refusal> RequestHandler::admit() {
    const MonoTime now = ReadClocks().mono;
    const AdmissionRequest request{
        m_message[http::field::host],
        m_message.target(),
        m_facts.credential,
        m_facts.clientTimeout,
        m_arrived,
        m_draw,
        m_streamOrigin ? std::string_view(m_streamOrigin->service) : std::string_view()};
    const AdmissionState knowledge =
        KnowledgeOf(m_context.configuration, m_context.upstreams, m_context.lifecycle, now);
    m_decidedOn = m_context.configuration.report(now);
    auto decided = Admit(m_context.settings.admission, knowledge, request);
    if (auto* refusal = std::get_if<Refusal>(&decided)) {
        return std::move(*refusal);
    }
    const bool first = m_admission.route == nullptr;
    m_admission = std::get<Admission>(std::move(decided));
    m_context.log.admitted(m_admission, knowledge.catalogAge);
    if (first) {
        AttemptRules rules;
        rules.repeatable = m_admission.route->repeatable;
        rules.resumable = m_admission.route->resumable;
        rules.maxAttempts = m_admission.route->maxAttempts;
        m_attempts = RequestAttempts(rules);
    }
    return checkQuarantine(now);
}

std::optional<Refusal> RequestHandler::checkQuarantine(MonoTime now) {
    if (!m_context.quarantine.hasCrashRecords()) {
        return std::nullopt;
    }
    const auto cause = m_context.quarantine.causeOf(fingerprints(), now);
    if (!cause) {
        return std::nullopt;
    }
    const bool isPart = cause->fingerprint != fingerprint();
    Refusal refusal =
        MakeRefusal(isPart ? RefusalReason::kPartQuarantined : RefusalReason::kQuarantined);
    refusal.retryAfter = cause->left;
    refusal.fingerprint = cause->fingerprint;
    return refusal;
}

// How long streams of the route can last. A route with several services leaves open which of them
// began a stream, so that only a record tells its origin.
Millis RequestHandler::streamSpan() const {
    const Route& route = *m_admission.route;
    return route.services.size() > 1 ? 2 * VersionHistory::kRetentionMs
                                     : std::max(VersionHistory::kMinStreamMs, route.timeout);
}

std::vector<StreamKey> RequestHandler::streamKeys() {
    return {StreamKey::OfId(m_facts.streamId()), StreamKey::OfFingerprint(fingerprint())};
}

Task<std::optional<Refusal>> RequestHandler::findStreamOrigin() {
    if (!m_admission.route->stream || !m_facts.takesUpStream()) {
        co_return std::nullopt;
    }
    const StreamKey key = m_facts.resumes.empty() ? StreamKey::OfFingerprint(fingerprint())
                                                  : StreamKey::OfId(m_facts.resumes);
    std::string service = m_admission.service.value;
    const StreamOriginReport report =
        co_await m_context.streams.find(key, std::move(service), streamSpan());
    m_context.log.streamTakenUp(m_facts, report);
    if (report.found.source == StreamOriginSource::kUnknown) {
        co_return MakeRefusal(RefusalReason::kStreamOriginUnknown);
    }
    m_streamOrigin = report.found.origin;
    co_return admit();
}

// Runs before the first event goes to the caller, so that a caller that comes back finds the
// record.
void RequestHandler::noteStreamBegun() {
    if (!m_streamOrigin) {
        m_streamOrigin = StreamOrigin{m_admission.service.value, m_version};
    }
    if (!m_admission.route->resumable || m_streamOrigin->version.empty()) {
        return;
    }
    m_streamRecorded = true;
    const Millis timeout = m_facts.clientTimeout.value_or(m_admission.route->timeout);
    for (const StreamKey& key : streamKeys()) {
        m_context.streams.begin(key, *m_streamOrigin, streamSpan(), m_arrived + timeout);
    }
}

Task<AfterAnswer> RequestHandler::serve() {
    if (const auto refusal = co_await findStreamOrigin()) {
        co_return co_await refuse(*refusal);
    }
    while (true) {
        if (shouldRelay()) {
            const std::optional<Verdict> relayed = co_await relay();
            if (m_caller.gone()) {
                co_return abandon(kCallerGone);
            }
            if (relayed) {
                co_return co_await conclude(*relayed);
            }
        }
        if (cannotServe()) {
            const Verdict unserved =
                m_attempts.stepWithoutRetry(m_relay->headSent(), StepReason::kNoUpstream);
            co_return co_await conclude(unserved);
        }
        const auto next = place();
        if (!next) {
            const Verdict verdict =
                m_attempts.stepWithoutRetry(m_relay->headSent(), StepReason::kNoUpstream);
            co_return co_await conclude(verdict);
        }
        const Verdict verdict = co_await attempt(*next);
        if (m_caller.gone()) {
            co_return abandon(kCallerGone);
        }
        if (verdict.step != NextStep::kRetry) {
            co_return co_await conclude(verdict);
        }
        const std::optional<Refusal> refusal = admit();
        if (!refusal) {
            continue;
        }
        const Verdict last =
            m_attempts.stepWithoutRetry(m_relay->headSent(), StepReason::kRefusedSince);
        if (last.step == NextStep::kRefuse) {
            co_return co_await refuse(*refusal);
        }
        co_return co_await conclude(last);
    }
}

// Only a request that reached no upstream is relayed, so that its runs and retries are all counted
// by the other box. One that another box relays is not passed on, so that it cannot go round.
bool RequestHandler::shouldRelay() const {
    const bool cutOff = m_unreached >= kMaxUnreached || m_context.reach.isLost(m_admission.service);
    return cutOff && !m_sent && !m_caller.isFromBox();
}

// Further connects would only delay the refusal: no neighbour took the request, or the box that
// relayed it has others to ask.
bool RequestHandler::cannotServe() const {
    if (m_sent || m_unreached == 0) {
        return false;
    }
    return m_context.reach.isLost(m_admission.service) ||
           (m_caller.isFromBox() && m_unreached >= kMaxUnreached);
}

Task<std::optional<Verdict>> RequestHandler::relay() {
    const RegionRule regions{&m_admission.route->allowedRegions, m_admission.teamAllowedRegions};
    while (m_triedBoxes.size() < kMaxRelayBoxes) {
        const RelayQuestion question{m_admission.service, regions, m_triedBoxes, m_draw,
                                     m_facts.takesUpStream()};
        const auto box = m_context.relays.choose(question, ReadClocks().mono);
        if (!box) {
            break;
        }
        m_triedBoxes.insert(*box);
        m_version.clear();  // The other box records what begins the stream there.
        const AttemptRequest request{m_message, m_facts, m_admission, m_attempts, !m_sent};
        RelayAttempt attempt(m_context, m_caller, *m_relay, request, *box);
        const RelayReport report = co_await attempt.run();
        m_context.log.relayed(m_facts.id, report);
        if (m_caller.gone()) {
            break;
        }
        if (!report.unavailable) {
            co_return judgeRelayed(report);
        }
        m_context.relays.noteUnavailable(*box, m_admission.service, ReadClocks().mono);
    }
    co_return std::nullopt;
}

Verdict RequestHandler::judgeRelayed(const RelayReport& report) {
    m_sent = true;
    m_upstream = report.box;
    m_timedOut = report.timedOut;
    m_relayRetryAfter = report.retryAfter;
    const AttemptFacts facts{false, m_relay->headSent()};
    return m_attempts.ended(report.end, facts, [] { return false; });
}

void RequestHandler::markNotRun(HttpFields& fields, const Refusal& refusal) const {
    if (!m_caller.isFromBox() || m_attempts.mayHaveRun()) {
        return;
    }
    const bool elsewhere = refusal.status == HttpStatus::kUnavailable && !refusal.fingerprint &&
                           m_attempts.attempts() == 0;
    fields.set(kRelayHeader, elsewhere ? kRelayUnavailable : kRelayNotRun);
}

// A first attempt may go to a version that is on trial; where that one has no upstream that may be
// chosen, and for a retry, the version in service gets the request. A version that is new gets no
// streams while another one has upstreams.
std::optional<AttemptPlace> RequestHandler::place() {
    const MonoTime now = ReadClocks().mono;
    m_context.records.expirePeerLoads(now);
    auto place =
        PlaceAttempt(m_context.placement(), placementQuestion(heldRule(m_tried.empty(), now)), now);
    if (!place && !m_streamOrigin) {
        place =
            PlaceAttempt(m_context.placement(), placementQuestion(versionRule(false, now)), now);
    }
    if (place) {
        m_context.records.cold().recordSend(place->upstream.incarnation(), now);
        m_context.rollouts.recordSend(place->upstream);
    }
    return place;
}

// What two versions write does not fit together, so a stream goes on only at its own.
VersionRule RequestHandler::versionRule(bool mayTry, MonoTime now) const {
    if (m_streamOrigin) {
        const std::string& version = m_streamOrigin->version;
        const bool mayContinue =
            !version.empty() && m_context.rollouts.mayContinue(m_admission.service, version, now);
        return mayContinue ? VersionRule(OnlyVersion{version}) : VersionRule(NoVersion{});
    }
    return m_context.rollouts.ruleFor(m_admission.service, promptHash(), mayTry, now);
}

VersionRule RequestHandler::heldRule(bool mayTry, MonoTime now) const {
    VersionRule rule = versionRule(mayTry, now);
    if (m_streamOrigin || !m_admission.route->resumable) {
        return rule;
    }
    std::set<std::string> held = m_context.streams.heldBack(m_admission.service);
    if (auto* without = std::get_if<WithoutVersions>(&rule)) {
        without->versions.merge(held);
    } else if (std::holds_alternative<AnyVersion>(rule) && !held.empty()) {
        rule = WithoutVersions{std::move(held)};
    }
    return rule;
}

uint64_t RequestHandler::promptHash() const {
    return m_facts.sharedParts.empty() ? m_draw : HashText(m_facts.sharedParts.back());
}

PlacementQuestion RequestHandler::placementQuestion(VersionRule versions) const {
    return {m_admission.service,
            m_admission.spec,
            &m_admission.route->allowedRegions,
            m_admission.teamAllowedRegions,
            m_facts.sharedParts,
            m_tried,
            m_draw,
            std::move(versions)};
}

Task<Verdict> RequestHandler::attempt(const AttemptPlace& place) {
    m_upstream = place.upstream.id;
    m_version = place.upstream.version;
    m_attemptStart = ReadClocks().mono;
    m_context.log.attemptStarted(m_facts, m_attempts.attempts() + 1, place,
                                 ReadClocks().mono - m_arrived);
    const AttemptRequest request{m_message, m_facts, m_admission, m_attempts, !m_sent};
    Attempt attempt(m_context, m_caller, *m_relay, request, place);
    AttemptReport report = co_await attempt.run();
    m_sent = m_sent || attempt.sent();
    m_timedOut = report.timedOut;
    m_tried.insert(place.upstream.id);
    m_unreached = report.connection.connectError.empty() ? 0 : m_unreached + 1;
    if (report.upstreamEnded) {
        report.fingerprint = fingerprint();
        noteBroken(place.upstream, report);
    }
    noteAnswer(place, report);
    const Verdict verdict = judge(report.end);
    m_context.log.attemptEnded(m_facts.id, report, verdict);
    co_return verdict;
}

// The time of an answer can be compared with others if the upstream is warm and need not read the
// prompt first. What a caller that left has not received says nothing.
void RequestHandler::noteAnswer(const AttemptPlace& place, const AttemptReport& report) {
    if (m_caller.gone()) {
        return;
    }
    const bool isCold = m_context.records.cold()
                            .coldLeft(place.upstream.incarnation(), ReadClocks().mono)
                            .has_value();
    const bool isComparable = !isCold && (m_facts.sharedParts.empty() || place.holdsPrompt);
    m_context.rollouts.recordAnswer({place.upstream, m_admission.route->name, report.end,
                                     isComparable ? report.firstByte : std::nullopt});
}

uint64_t RequestHandler::fingerprint() {
    if (!m_fingerprint) {
        const std::string_view method = m_message.method_string();
        const std::string_view host = m_message[http::field::host];
        const std::string_view target = m_message.target();
        m_fingerprint =
            Fingerprint({method, host, target, m_admission.team.value, m_message.body()});
    }
    return *m_fingerprint;
}

const std::vector<uint64_t>& RequestHandler::fingerprints() {
    if (m_fingerprints.empty()) {
        m_fingerprints.push_back(fingerprint());
        for (const std::string& part : m_facts.sharedParts) {
            m_fingerprints.push_back(PartFingerprint(part));
        }
    }
    return m_fingerprints;
}

void RequestHandler::noteBroken(const Upstream& upstream, const AttemptReport& report) {
    const MonoTime now = ReadClocks().mono;
    m_context.quarantine.noteInterruptedAttempt(
        upstream, {m_facts.id, fingerprint(), m_facts.sharedParts, now - report.took, now});
}

Verdict RequestHandler::judge(AttemptEnd end) {
    const MonoTime now = ReadClocks().mono;
    const bool timeLeft = HasTimeForAttempt(m_admission.deadline, now) && !m_caller.gone();
    return m_attempts.ended(end, {timeLeft, m_relay->headSent()}, [&] {
        return m_context.retries.tryAcquireRetry(m_admission.service, m_context.mesh.boxesKnown(),
                                                 now);
    });
}

Task<AfterAnswer> RequestHandler::conclude(const Verdict& verdict) {
    if (verdict.step == NextStep::kDeliver) {
        co_return co_await deliver();
    }
    if (verdict.step == NextStep::kBreak) {
        co_return abandon(kStreamBroken);
    }
    const RefusalReason failed = m_timedOut ? RefusalReason::kTimedOut : RefusalReason::kUnclear;
    const bool notRun = verdict.step == NextStep::kRefuse;
    Refusal refusal = MakeRefusal(notRun ? RefusalReason::kNoUpstream : failed);
    if (notRun) {
        noteLeftOut(refusal);
        refusal.retryAfter = m_relayRetryAfter ? m_relayRetryAfter : refusal.retryAfter;
    }
    co_return co_await refuse(refusal);
}

// Where no upstream may be sent to, the caller is told why and when the first one is back.
void RequestHandler::noteLeftOut(Refusal& refusal) const {
    const MonoTime now = ReadClocks().mono;
    const auto leftOut =
        AllLeftOut(m_context.placement(), placementQuestion(versionRule(false, now)), now);
    if (!leftOut) {
        return;
    }
    m_context.log.leftOut(m_facts.id, *leftOut);
    if (leftOut->wait()) {
        refusal.retryAfter = std::max(*leftOut->wait(), kRetryAfterNoUpstreamMs);
    }
}

Task<AfterAnswer> RequestHandler::deliver() {
    const bool success = m_relay->status() < HttpStatus::kFirstRedirect;
    if (success) {
        m_context.quarantine.noteAnswer(fingerprint());
        m_context.quarantine.notePartAnswers(std::span(fingerprints()).subspan(1), m_attemptStart);
    }
    const bool written = co_await m_relay->finish();
    m_context.log.done(report(), m_admission, kAnswered);
    co_return written ? afterAnswer() : AfterAnswer::kAborted;
}

// Ends the connection without an answer's end, so that the caller sees that it is not whole.
AfterAnswer RequestHandler::abandon(std::string_view outcome) {
    m_caller.abort();
    m_context.log.done(report(), m_admission, outcome);
    return AfterAnswer::kAborted;
}

Task<AfterAnswer> RequestHandler::refuse(const Refusal& refusal) {
    HttpFields fields;
    if (!m_facts.id.empty()) {
        m_context.dialect.markAnswer(fields, m_facts.id);
    }
    if (refusal.retryAfter) {
        const auto [name, value] = m_context.dialect.retryAfter(*refusal.retryAfter);
        fields.set(name, value);
    }
    markNotRun(fields, refusal);
    const bool close = afterAnswer() == AfterAnswer::kClose;
    std::string text = RefusalText(refusal.status, refusal.text, fields, close);
    const bool written = co_await m_caller.write(std::move(text));
    const Admission* admission = m_admission.route != nullptr ? &m_admission : nullptr;
    const AdmissionRules& rules = m_context.settings.admission;
    m_context.log.refused(report(), admission, refusal,
                          m_decidedOn.value_or(m_context.configuration.report(ReadClocks().mono)),
                          std::min(rules.freshLimit, rules.denialLimit));
    co_return written ? afterAnswer() : AfterAnswer::kAborted;
}

AfterAnswer RequestHandler::afterAnswer() const {
    const bool keep = m_message.keep_alive() && !m_context.lifecycle.draining();
    return keep ? AfterAnswer::kKeep : AfterAnswer::kClose;
}

RequestReport RequestHandler::report() const {
    RequestReport report;
    report.id = m_facts.id;
    report.upstream = m_upstream;
    report.attempts = m_attempts.attempts();
    report.mayHaveRun = m_attempts.mayHaveRun();
    report.status = m_relay ? m_relay->status() : 0;
    report.took = ReadClocks().mono - m_arrived;
    report.forBox = m_caller.isFromBox();
    if (m_relay && m_relay->firstByteAt()) {
        report.firstByte = *m_relay->firstByteAt() - m_arrived;
    }
    return report;
}

}  // namespace onyx
