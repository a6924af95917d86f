#include "include/gateway/RelayedRequest.h"

#include "include/gateway/HttpText.h"
#include "include/health/AttemptSign.h"
#include "include/observe/Events.h"

namespace onyx {

namespace http = boost::beast::http;

RelayedRequest::RelayedRequest(GatewayState& state, CallerConnection& caller, ReadRequest request)
    : m_state(state),
      m_caller(caller),
      m_message(std::move(request.message)),
      m_arrived(request.arrived),
      m_draw(state.random()) {}

Task<AfterAnswer> RelayedRequest::run() {
    m_state.lifecycle.requestBegan();
    std::optional<Refusal> refusal = readHead();
    if (!refusal) {
        refusal = decide();
    }
    AfterAnswer after = AfterAnswer::kClose;
    if (refusal) {
        after = co_await answerRefusal(*refusal);
    } else {
        after = co_await serve();
    }
    m_state.lifecycle.requestEnded();
    co_return after;
}

std::optional<Refusal> RelayedRequest::readHead() {
    Result<CallerFacts> facts = m_state.dialect.readCaller(m_message.base());
    if (facts.has_error()) {
        return MakeRefusal(RefusalReason::kBadHead, facts.error().text());
    }
    m_facts = std::move(facts.value());
    if (m_facts.id.empty()) {
        return MakeRefusal(RefusalReason::kNoRequestId);
    }
    m_relay.emplace(m_state, m_caller, m_facts.lastEventId);
    return std::nullopt;
}

// Asked again before each send, so that a request that waited is not handled by what is no longer
// in force. A refusal leaves the decision before it as it is.
std::optional<Refusal> RelayedRequest::decide() {
    const AdmissionRequest request{m_message[http::field::host], m_message.target(), m_facts.key,
                                   m_facts.clientTimeout,        m_arrived,          m_draw};
    const MonoTime now = ReadClocks().mono;
    auto decided = Admit(m_state.settings.admission, m_state.knowledge(now), request);
    if (auto* refusal = std::get_if<Refusal>(&decided)) {
        return std::move(*refusal);
    }
    const bool first = m_admission.route == nullptr;
    m_admission = std::get<Admission>(std::move(decided));
    noteStaleness();
    if (first) {
        AttemptRules rules;
        rules.repeatable = m_admission.route->repeatable;
        rules.resumable = m_admission.route->resumable;
        rules.maxAttempts = m_admission.route->maxAttempts;
        m_attempts = RequestAttempts(rules);
    }
    return std::nullopt;
}

// One line when decisions on a stale configuration begin, and one when they end.
void RelayedRequest::noteStaleness() {
    if (m_admission.stale) {
        m_state.metrics.count("onyx_stale_decisions_total");
    }
    if (m_state.servesStale == m_admission.stale) {
        return;
    }
    m_state.servesStale = m_admission.stale;
    const auto age = m_state.keysKnown.age(ReadClocks().mono);
    logEvent(Event::kServingStale,
             {{"stale", m_admission.stale ? "yes" : "no"},
              {"configuration", std::to_string(m_admission.catalog->version())},
              {"age_ms", age ? std::to_string(*age) : "none"}});
}

Task<AfterAnswer> RelayedRequest::serve() {
    while (true) {
        const UpstreamQuestion question{m_facts.sharedParts, m_tried, m_draw};
        const MonoTime now = ReadClocks().mono;
        m_state.peerCounts.expire(now);
        const auto choice = ChooseNextUpstream(m_state, m_admission, question, now);
        if (!choice) {
            co_return co_await conclude(
                m_attempts.giveUp(m_relay->headSent(), StepReason::kNoUpstream));
        }
        const Verdict verdict = co_await attempt(*choice);
        if (m_caller.gone()) {
            m_caller.abort();
            logDone("caller-gone");
            co_return AfterAnswer::kAborted;
        }
        if (verdict.step != NextStep::kRetry) {
            co_return co_await conclude(verdict);
        }
        const std::optional<Refusal> refusal = decide();
        if (!refusal) {
            continue;
        }
        const Verdict end = m_attempts.giveUp(m_relay->headSent(), StepReason::kRefusedSince);
        if (end.step != NextStep::kRefuse) {
            co_return co_await conclude(end);
        }
        co_return co_await answerRefusal(*refusal);
    }
}

void RelayedRequest::logAttempt(const UpstreamChoice& choice, MonoTime now) const {
    const std::string prompt =
        m_facts.sharedParts.empty() ? std::string() : m_facts.sharedParts.back();
    logEvent(
        Event::kAttemptStarted,
        {{"request", m_facts.id},
         {"attempt", std::to_string(m_attempts.attempts() + 1)},
         {"upstream", choice.upstream.id},
         {"reason", std::string(PlacementReasonName(choice.reason))},
         {"prompt", prompt},
         {"prompt_tokens", std::to_string(m_facts.promptTokens)},
         {"cache_source", choice.source ? choice.source->upstream.id : std::string()},
         {"cache_reason", choice.source ? std::string(CacheSourceReasonName(choice.source->reason))
                                        : std::string()},
         {"after_ms", std::to_string(now - m_arrived)}});
}

std::string RelayedRequest::orderText(const UpstreamChoice& choice) const {
    UpstreamOrder order;
    order.upstreamId = choice.upstream.id;
    order.timeLeft = m_admission.deadline - ReadClocks().mono;
    order.team = m_admission.team.value;
    order.priority = m_admission.priority;
    order.resumeAfter = m_relay->headSent() ? m_relay->lastEvent() : std::nullopt;
    order.model = m_admission.spec != nullptr && m_admission.spec->model;
    order.fetchFrom = choice.source ? choice.source->upstream.address : std::string();
    HttpFields fields(m_message.base());
    DropConnectionHeaders(fields);
    m_state.dialect.writeOrder(fields, order);
    return RequestText(m_message, fields);
}

MonoTime RelayedRequest::firstByteDeadline() const {
    const Route& route = *m_admission.route;
    const AttemptWait wait{m_attempts.mayRetryUnanswered(), m_admission.deadline};
    return FirstByteDeadline(wait, route.objective, route.stream, m_state.settings.stallTimeout,
                             ReadClocks().mono);
}

MonoTime RelayedRequest::nextPieceDeadline() const {
    const AttemptWait wait{m_attempts.mayRetryBroken(), m_admission.deadline};
    return NextPieceDeadline(wait, m_state.settings.stallTimeout, ReadClocks().mono);
}

Task<Verdict> RelayedRequest::attempt(const UpstreamChoice& choice) {
    const MonoTime start = ReadClocks().mono;
    m_upstreamId = choice.upstream.id;
    logAttempt(choice, start);
    auto exchange = std::make_shared<UpstreamExchange>(m_state, choice.upstream, m_facts.id);
    m_caller.watch([exchange] { exchange->cancel(); });
    m_state.loads.enter(choice.upstream.id);
    const RelayEnd ended = co_await exchangeWith(*exchange, choice);
    m_caller.unwatch();
    exchange->finish();
    m_state.loads.leave(choice.upstream.id);
    m_timedOut = ended.timedOut;
    m_tried.insert(choice.upstream.id);
    noteAttempt(*exchange, ended, start);
    const Verdict verdict = judge(ended.end);
    if (ended.end != AttemptEnd::kAnswered) {
        logAttemptEnd(*exchange, ended, verdict, ReadClocks().mono - start);
    }
    co_return verdict;
}

Verdict RelayedRequest::judge(AttemptEnd end) {
    const MonoTime now = ReadClocks().mono;
    const bool timeLeft = HasTimeForAttempt(m_admission.deadline, now) && !m_caller.gone();
    const AttemptFacts facts{timeLeft, m_relay->headSent()};
    return m_attempts.ended(end, facts, [&] {
        return m_state.retries.takeRetry(m_admission.service, m_state.boxesKnown, now);
    });
}

Task<RelayEnd> RelayedRequest::exchangeWith(UpstreamExchange& exchange,
                                            const UpstreamChoice& choice) {
    const MonoTime start = ReadClocks().mono;
    const Route& route = *m_admission.route;
    const Millis rest =
        route.repeatable ? m_state.settings.idleConnection : m_state.settings.onceConnection;
    const ConnectionBounds bounds =
        ConnectionBounds::For(route.objective, m_state.settings.connectTimeout);
    const Result<bool> connected = co_await exchange.connect(rest, bounds);
    // Time went by: what this box knows must still allow the attempt, and so must the caller.
    const auto age = m_state.keysKnown.age(ReadClocks().mono);
    const bool allowed = connected.has_value() && !m_caller.gone() &&
                         MaySend(m_state.settings.admission, route, age);
    if (!allowed) {
        co_return RelayEnd{AttemptEnd::kNotSent, false};
    }
    if (!m_counted) {
        m_state.retries.countFirst(m_admission.service, start);
        m_counted = true;
    }
    m_state.metrics.count("onyx_sends_total", {{"service", m_admission.service.value}});
    std::string text = orderText(choice);
    const MonoTime until = firstByteDeadline();
    const AnswerRead head = co_await exchange.send(std::move(text), until);
    if (head != AnswerRead::kPart) {
        co_return RelayEnd{AttemptEnd::kUnclear, head == AnswerRead::kTimeout};
    }
    learnFromHead(exchange.facts(), choice.upstream.id);
    const ReadDeadlines deadlines{[this] { return firstByteDeadline(); },
                                  [this] { return nextPieceDeadline(); }};
    co_return co_await m_relay->relay(exchange, route.stream, until, deadlines);
}

void RelayedRequest::learnFromHead(const UpstreamFacts& facts, const std::string& upstream) {
    const MonoTime now = ReadClocks().mono;
    // With the head of a good answer the upstream has read the prompt.
    if (facts.authentic) {
        m_state.caches.recordAnswer(m_facts.sharedParts, upstream, now);
    }
    if (facts.load) {
        m_state.loads.noteReportedLoad(upstream, *facts.load, now);
    }
}

void RelayedRequest::noteAttempt(const UpstreamExchange& exchange, const RelayEnd& ended,
                                 MonoTime start) {
    const Upstream& upstream = exchange.upstream();
    const std::string end(AttemptEndName(ended.end));
    const std::optional<UpstreamSign> sign = SignOfAttempt(ended.end, exchange.unreachable());
    if (sign && !m_caller.gone() &&
        m_state.health.note(upstream.id, *sign, start, ReadClocks().mono)) {
        // Bytes sent on a kept connection may have arrived, those of a connection that does not
        // open have not: the request that tries this upstream next can still go elsewhere.
        m_state.pool.drop(upstream.id);
        logEvent(Event::kUpstreamEjected, {{"upstream", upstream.id}, {"after", end}});
    }
    m_state.metrics.count("onyx_send_ends_total", {{"end", end}});
}

void RelayedRequest::logAttemptEnd(const UpstreamExchange& exchange, const RelayEnd& ended,
                                   const Verdict& verdict, Millis took) const {
    const ConnectionReport& connection = exchange.connection();
    const auto& bytes = connection.unacknowledged;
    logEvent(Event::kSendEnded, {{"request", m_facts.id},
                                 {"upstream", exchange.upstream().id},
                                 {"end", std::string(AttemptEndName(ended.end))},
                                 {"timed_out", ended.timedOut ? "yes" : "no"},
                                 {"unreachable", exchange.unreachable() ? "yes" : "no"},
                                 {"took_ms", std::to_string(took)},
                                 {"connection", connection.kept ? "kept" : "new"},
                                 {"rested_ms", std::to_string(connection.rested)},
                                 {"ended_by", std::string(ConnectionEndName(connection.end))},
                                 {"unacknowledged", bytes ? std::to_string(*bytes) : "unknown"},
                                 {"retried", verdict.step == NextStep::kRetry ? "yes" : "no"},
                                 {"why", std::string(StepReasonName(verdict.reason))}});
}

AfterAnswer RelayedRequest::afterAnswer() const {
    return m_message.keep_alive() && !m_state.lifecycle.draining() ? AfterAnswer::kKeep
                                                                   : AfterAnswer::kClose;
}

// Carries out what is the last step of a request.
Task<AfterAnswer> RelayedRequest::conclude(const Verdict& verdict) {
    switch (verdict.step) {
        case NextStep::kDeliver: {
            const bool written = co_await m_relay->finish();
            logDone("answered");
            co_return written ? afterAnswer() : AfterAnswer::kAborted;
        }
        case NextStep::kBreak:
            m_caller.abort();
            logDone("stream-broken");
            co_return AfterAnswer::kAborted;
        case NextStep::kRefuse: {
            const Refusal refusal = MakeRefusal(RefusalReason::kNoUpstream);
            co_return co_await answerRefusal(refusal);
        }
        case NextStep::kFail:
        case NextStep::kRetry:
            break;
    }
    const Refusal refusal =
        MakeRefusal(m_timedOut ? RefusalReason::kTimedOut : RefusalReason::kUnclear);
    co_return co_await answerRefusal(refusal);
}

Task<AfterAnswer> RelayedRequest::answerRefusal(const Refusal& refusal) {
    HttpFields fields;
    if (!m_facts.id.empty()) {
        m_state.dialect.markAnswer(fields, m_facts.id);
    }
    if (refusal.retryAfter) {
        const auto [name, value] = m_state.dialect.retryAfter(*refusal.retryAfter);
        fields.set(name, value);
    }
    const bool close = m_state.lifecycle.draining() || !m_message.keep_alive();
    std::string text = RefusalText(refusal.status, refusal.text, fields, close);
    const bool written = co_await m_caller.write(std::move(text));
    const auto age = m_state.keysKnown.age(ReadClocks().mono);
    logEvent(
        Event::kRequestRefused,
        {{"request", m_facts.id},
         {"status", std::to_string(refusal.status)},
         {"reason", refusal.text},
         {"upstream", m_upstreamId},
         {"may_have_run", m_attempts.mayHaveRun() ? "yes" : "no"},
         {"configuration", m_state.catalog ? std::to_string(m_state.catalog->version()) : "none"},
         {"knowledge_age_ms", age ? std::to_string(*age) : "none"}});
    m_state.metrics.count("onyx_refusals_total",
                          {{"status", std::to_string(refusal.status)}, {"why", refusal.text}});
    co_return written ? afterAnswer() : AfterAnswer::kAborted;
}

void RelayedRequest::logDone(std::string_view outcome) const {
    const Millis took = ReadClocks().mono - m_arrived;
    m_state.metrics.count("onyx_requests_total", {{"outcome", std::string(outcome)}});
    m_state.metrics.observe("onyx_request_ms", {{"route", m_admission.route->name}},
                            static_cast<double>(took));
    logEvent(Event::kRequestDone,
             {{"request", m_facts.id},
              {"route", m_admission.route->name},
              {"team", m_admission.team.value},
              {"outcome", std::string(outcome)},
              {"status", std::to_string(m_relay->status())},
              {"upstream", m_upstreamId},
              {"sends", std::to_string(m_attempts.attempts())},
              {"configuration", std::to_string(m_admission.catalog->version())},
              {"took_ms", std::to_string(took)}});
}

}  // namespace onyx
