#include "include/request/Attempt.h"

#include "include/health/AttemptHealthSignal.h"
#include "include/request/HttpText.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kNoIdleConnection = -1;
constexpr Millis kDropTime = 1000;  // For the rest of a body that no caller gets.

// Reads the rest of an answer whose head has decided the attempt. If it ends soon, its connection
// can be kept; an upstream that sends it without an end is not sound, whatever the head says.
Task<> DropRest(RequestContext& context, std::shared_ptr<UpstreamExchange> exchange) {
    const MonoTime start = ReadClocks().mono;
    const AnswerRead end = co_await exchange->skipBody(start + kDropTime);
    exchange->finish();
    const Upstream& upstream = exchange->upstream();
    if (end != AnswerRead::kPart || context.records.isSuperseded(upstream.incarnation())) {
        co_return;
    }
    if (context.records.recordSignal(upstream.id, HealthSignal::kSilent, start,
                                     ReadClocks().mono)) {
        context.log.ejected(upstream.id, AttemptEnd::kUnclear);
    }
}

}  // namespace

Attempt::Attempt(RequestContext& context, CallerConnection& caller, AnswerRelay& relay,
                 const AttemptRequest& request, const AttemptPlace& place)
    : m_context(context),
      m_caller(caller),
      m_relay(relay),
      m_request(request),
      m_place(place),
      m_exchange(std::make_shared<UpstreamExchange>(context, place.upstream, request.facts.id)),
      m_start(ReadClocks().mono) {}

Task<AttemptReport> Attempt::run() {
    const std::string& upstream = m_place.upstream.id;
    m_caller.watch([exchange = m_exchange] { exchange->cancel(); });
    const uint64_t attempt = m_context.records.beginAttempt(
        m_place.upstream.incarnation(), [exchange = m_exchange] { exchange->cancel(); });
    const RelayEnd ended = co_await exchange();
    m_exchange->setSilenceRule({});
    m_caller.unwatch();
    finishExchange(ended.end);
    m_context.records.endAttempt(attempt);
    const bool isNoted = m_silenceNoted && ended.timedOut;
    if (!isNoted) {
        noteHealth(ended.end);
    }
    AttemptReport report;
    report.upstream = upstream;
    report.version = m_place.upstream.version;
    report.stream = m_request.facts.streamId();
    report.end = ended.end;
    report.timedOut = ended.timedOut;
    report.unreachable = m_exchange->unreachable();
    report.took = ReadClocks().mono - m_start;
    report.firstByte = timeToFirstByte(ended.end, report.took);
    report.connection = m_exchange->connection();
    report.connection.connectError = m_connectError;
    report.answerStatus = m_answerStatus;
    report.leaving = m_exchange->facts().leaving;
    report.backoff = m_exchange->facts().backoff;
    const bool broke = ended.end == AttemptEnd::kUnclear || ended.end == AttemptEnd::kStreamBroken;
    report.upstreamEnded =
        m_sent && broke && (report.connection.end == ConnectionEnd::kPeer || isOfPast());
    noteReach(report);
    noteRoom(report);
    co_return report;
}

void Attempt::finishExchange(AttemptEnd end) {
    const bool ranNot = end == AttemptEnd::kDeclined || end == AttemptEnd::kMisdirected;
    if (ranNot && m_exchange->hasRest()) {
        Spawn(m_context.io.get_executor(), DropRest(m_context, m_exchange));
    } else {
        m_exchange->finish();
    }
}

// An answer that is passed on whole has its first byte for the caller at its end.
std::optional<Millis> Attempt::timeToFirstByte(AttemptEnd end, Millis took) const {
    const auto at = m_relay.firstByteAt();
    if (at && *at >= m_start) {
        return *at - m_start;
    }
    const bool isWhole = end == AttemptEnd::kAnswered && !m_relay.headSent();
    return isWhole ? std::optional<Millis>(took) : std::nullopt;
}

Task<RelayEnd> Attempt::exchange() {
    const bool connected = co_await connect();
    if (!connected) {
        co_return RelayEnd{AttemptEnd::kNotSent, false};
    }
    m_sent = true;
    m_sentAt = ReadClocks().mono;
    const Admission& admission = m_request.admission;
    m_context.room.noteSent(admission.service, m_sentAt);
    if (m_request.first) {
        m_context.retries.recordFirstAttempt(admission.service, m_start);
    }
    m_context.log.sent(admission.service);
    OutgoingRequest message{requestHead(), m_request.body};
    const MonoTime silentUntil = firstByteDeadline();
    m_exchange->setSilenceRule([this] { return mayGiveUp(); });
    const AnswerWait wait{admission.deadline, silentUntil};
    const AnswerRead head = co_await m_exchange->send(std::move(message), wait);
    if (head != AnswerRead::kPart) {
        co_return RelayEnd{AttemptEnd::kUnclear, head == AnswerRead::kTimeout};
    }
    m_answerStatus = m_exchange->head().result_int();
    learnFromHead();
    const ReadDeadlines deadlines{admission.deadline, [this] { return firstByteDeadline(); },
                                  [this] { return nextPieceDeadline(); }};
    const RelayRules rules{admission.route->stream, !m_request.attempts.mayRetryUnanswered()};
    co_return co_await m_relay.relay(*m_exchange, rules, silentUntil, deadlines);
}

// Opens the connection; false if the attempt is not to be sent. Time goes by meanwhile: what this
// box knows must still allow the attempt, and the caller must still be there.
Task<bool> Attempt::connect() {
    const GatewaySettings& settings = m_context.settings;
    const Route& route = *m_request.admission.route;
    Millis maxIdle = route.repeatable ? settings.idleConnection : settings.onceConnection;
    if (m_context.reach.isInDoubt(m_request.admission.service)) {
        maxIdle =
            kNoIdleConnection;  // A request on it may be lost; a failed connect sends nothing.
    }
    const ConnectionBounds bounds =
        ConnectionBounds::ForObjective(route.objective, settings.connectTimeout);
    const Result<bool> connected =
        co_await m_exchange->connect(maxIdle, bounds, m_request.usedConnections);
    if (connected.has_error()) {
        m_connectError = connected.error().message;
    } else if (m_exchange->isNewConnection()) {
        m_context.reach.noteConnected(m_place.upstream);
    }
    const auto age = m_context.configuration.age(ReadClocks().mono);
    // The rest of an answer is not a new request: what began it was allowed.
    const bool maySend = m_relay.headSent() || MaySend(settings.admission, route, age);
    co_return connected.has_value() && !m_caller.gone() && maySend;
}

std::string Attempt::requestHead() const {
    const Admission& admission = m_request.admission;
    UpstreamRequest request;
    request.upstreamId = m_place.upstream.id;
    request.timeLeft = admission.deadline - ReadClocks().mono;
    request.team = admission.team.value;
    request.priority = admission.priority;
    request.resumeAfter = m_relay.headSent() ? m_relay.lastEvent() : std::nullopt;
    request.model = admission.spec != nullptr && admission.spec->model;
    request.fetchFrom = m_place.source ? m_place.source->upstream.address : std::string();
    HttpFields fields(m_request.message.base());
    DropConnectionHeaders(fields);
    m_context.dialect.writeUpstreamRequest(fields, request);
    return RequestHeadText(m_request.message, fields, m_request.body->size());
}

MonoTime Attempt::firstByteDeadline() const {
    const Route& route = *m_request.admission.route;
    const AttemptWait wait{m_request.attempts.mayRetryUnanswered(), m_request.admission.deadline};
    return FirstByteDeadline(wait, route.objective, route.stream, m_context.settings.stallTimeout,
                             ReadClocks().mono);
}

MonoTime Attempt::nextPieceDeadline() const {
    const bool mayContinue = !m_relay.headSent() || m_relay.mayContinue();
    const AttemptWait wait{mayContinue && m_request.attempts.mayRetryBroken(),
                           m_request.admission.deadline};
    return NextPieceDeadline(wait, m_context.settings.stallTimeout, ReadClocks().mono);
}

// A silent upstream that is waited for all the same counts as silent for other requests.
bool Attempt::mayGiveUp() {
    if (m_request.mayGiveUp()) {
        return true;
    }
    if (!m_silenceNoted) {
        noteHealth(AttemptEnd::kUnclear);
        m_silenceNoted = true;
    }
    return false;
}

// What an earlier incarnation did says nothing of the one that is there now.
bool Attempt::isOfPast() const {
    return m_context.records.isSuperseded(m_place.upstream.incarnation());
}

// How long the upstream gets no requests from this box: as long as it asks for, and if it is
// brittle and has turned this request away, until it can bear to do so again.
std::optional<Millis> Attempt::backoffAfter(const UpstreamFacts& facts) const {
    const bool turnedAway = facts.declined && !facts.misdirected;
    if (!turnedAway) {
        return facts.backoff;
    }
    const size_t boxes = std::max<size_t>(1, m_context.mesh.boxesKnown());
    const auto pause =
        m_context.records.brittle().pauseAfterRefusal(m_place.upstream.incarnation(), boxes);
    return pause ? std::max(*pause, facts.backoff.value_or(0)) : facts.backoff;
}

void Attempt::learnFromHead() {
    if (isOfPast()) {
        return;
    }
    const UpstreamFacts& facts = m_exchange->facts();
    const std::string& upstream = m_place.upstream.id;
    const MonoTime now = ReadClocks().mono;
    const Incarnation incarnation = m_place.upstream.incarnation();
    m_context.records.brittle().note(incarnation, facts.bearableRefusals);
    const std::optional<Millis> backoff = backoffAfter(facts);
    if (backoff && m_context.records.avoidance().recordBackoff(incarnation, now + *backoff, now)) {
        m_context.log.backsOff(upstream, *backoff);
    }
    if (facts.coldLeft) {
        m_context.records.cold().note(incarnation, *facts.coldLeft, now);
    }
    if (facts.leaving && m_context.records.avoidance().recordLeaving(incarnation, now)) {
        m_context.records.dropConnections(upstream);
        m_context.log.leaves(upstream);
    }
    // With the head of a good answer the upstream has read the prompt.
    if (facts.authentic) {
        m_context.records.recordPrompt(m_request.facts.sharedParts, upstream, now);
    }
    if (!facts.unreadable.empty()) {
        m_context.log.headUnreadable(m_request.facts.id, upstream, facts.unreadable);
    }
    if (facts.workTimePercent) {
        m_context.records.workTimes().note(upstream, *facts.workTimePercent, now);
    }
    if (facts.load) {
        m_context.records.noteReportedLoad(upstream, *facts.load, now);
    }
}

// What a caller that left, or a restart of the upstream, has cancelled says nothing of the network.
void Attempt::noteReach(const AttemptReport& report) {
    const bool unreached = !m_connectError.empty() || report.unreachable ||
                           report.connection.end == ConnectionEnd::kPeer;
    if (unreached && !m_caller.gone() && !isOfPast()) {
        m_context.reach.noteUnreached(m_place.upstream);
    }
}

// What an upstream that leaves or is cold turns away is no sign that the service is short of room.
void Attempt::noteRoom(const AttemptReport& report) {
    if (!m_sent) {
        return;
    }
    const MonoTime now = ReadClocks().mono;
    const Admission& admission = m_request.admission;
    const UpstreamFacts& facts = m_exchange->facts();
    RoomEnd end;
    end.priority = admission.priority;
    end.objective = admission.route->objective;
    end.took = now - m_sentAt;
    // A failure that is answered has kept a slot busy like an answer.
    const bool failed = report.end == AttemptEnd::kFailed && !m_relay.headSent();
    if (const auto firstByte = failed ? std::optional(report.took) : report.firstByte) {
        // What an earlier attempt took says nothing of this upstream.
        end.firstByte = (m_request.first ? m_start - m_request.arrived : 0) + *firstByte;
    }
    end.unanswered = report.timedOut && !end.firstByte && now - m_request.arrived > end.objective;
    end.declined =
        report.end == AttemptEnd::kDeclined && !facts.leaving && facts.coldLeft.value_or(0) == 0;
    m_context.room.noteEnded(admission.service, end, now);
}

// A caller that left says nothing of the upstream.
void Attempt::noteHealth(AttemptEnd end) {
    const auto sign = AttemptHealthSignal(end, m_exchange->unreachable());
    if (!sign || m_caller.gone() || isOfPast()) {
        return;
    }
    const std::string& upstream = m_place.upstream.id;
    if (m_context.records.recordSignal(upstream, *sign, m_start, ReadClocks().mono)) {
        m_context.log.ejected(upstream, end);
    }
}

}  // namespace onyx
