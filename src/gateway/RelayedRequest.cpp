#include "include/gateway/RelayedRequest.h"

#include "include/gateway/HttpText.h"
#include "include/gateway/SendSign.h"
#include "include/observe/Events.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace onyx {

namespace http = boost::beast::http;

namespace {

constexpr Millis kLeastSend = 20;  // With less time left, nothing is sent any more.
constexpr Millis kRetryAfterSoon = 200;

Refusal RefusalOf(http::status status, std::string reason, std::optional<Millis> retryAfter) {
    return {static_cast<unsigned>(status), std::move(reason), retryAfter};
}

}  // namespace

RelayedRequest::RelayedRequest(GatewayState& state, CallerConnection& caller, ReadRequest request)
    : m_state(state),
      m_caller(caller),
      m_message(std::move(request.message)),
      m_arrived(request.arrived),
      m_point(state.random()) {}

Task<AfterAnswer> RelayedRequest::run() {
    ++m_state.activeRequests;
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
    --m_state.activeRequests;
    co_return after;
}

std::optional<Refusal> RelayedRequest::readHead() {
    Result<CallerFacts> facts = m_state.dialect.readCaller(m_message.base());
    if (facts.has_error()) {
        return RefusalOf(http::status::bad_request, facts.error().text(), std::nullopt);
    }
    m_facts = std::move(facts.value());
    if (m_facts.id.empty()) {
        return RefusalOf(http::status::bad_request, "the request has no id", std::nullopt);
    }
    m_relay.emplace(m_state, m_caller, m_facts.lastEventId);
    return std::nullopt;
}

// Asked again before each send, so that a request that waited is not handled by what is no longer
// in force. A refusal leaves the decision before it as it is.
std::optional<Refusal> RelayedRequest::decide() {
    const RouteQuestion question{m_message[http::field::host], m_message.target(), m_facts.key,
                                 m_facts.clientTimeout,        m_arrived,          m_point};
    auto decided = DecideRoute(m_state, question, ReadClocks().mono);
    if (auto* refusal = std::get_if<Refusal>(&decided)) {
        return std::move(*refusal);
    }
    const bool first = m_decision.route == nullptr;
    m_decision = std::get<RouteDecision>(std::move(decided));
    noteStaleness();
    if (first) {
        RequestRules rules;
        rules.repeatable = m_decision.route->repeatable;
        rules.resumable = m_decision.route->resumable;
        rules.maxAttempts = m_decision.route->maxAttempts;
        m_sends = RequestState(rules);
    }
    return std::nullopt;
}

// One line when decisions on a stale configuration begin, and one when they end.
void RelayedRequest::noteStaleness() {
    if (m_decision.stale) {
        m_state.metrics.count("onyx_stale_decisions_total");
    }
    if (m_state.servesStale == m_decision.stale) {
        return;
    }
    m_state.servesStale = m_decision.stale;
    const auto age = m_state.keysKnown.age(ReadClocks().mono);
    logEvent(Event::kServingStale,
             {{"stale", m_decision.stale ? "yes" : "no"},
              {"configuration", std::to_string(m_decision.catalog->version())},
              {"age_ms", age ? std::to_string(*age) : "none"}});
}

bool RelayedRequest::hasTimeLeft() const {
    return m_decision.until - ReadClocks().mono >= kLeastSend;
}

Task<AfterAnswer> RelayedRequest::serve() {
    while (true) {
        const UpstreamQuestion question{m_facts.sharedParts, m_tried, m_point};
        const MonoTime now = ReadClocks().mono;
        m_state.peerCounts.expire(now);
        const auto choice = ChooseNextUpstream(m_state, m_decision, question, now);
        if (!choice) {
            const NextStep step = m_sends.giveUp(m_relay->headSent());
            co_return co_await conclude(step);
        }
        const RelayEnd sent = co_await sendOnce(*choice);
        m_tried.insert(choice->upstream.id);
        const bool mayGoOn = hasTimeLeft() && !m_caller.gone();
        const RequestFacts facts{mayGoOn, m_relay->headSent()};
        const NextStep step = m_sends.sendEnded(sent.end, facts, [&] {
            return m_state.takeRepeat(m_decision.service, ReadClocks().mono);
        });
        if (m_caller.gone()) {
            m_caller.abort();
            logDone("caller-gone");
            co_return AfterAnswer::kAborted;
        }
        if (step != NextStep::kSendAgain) {
            co_return co_await conclude(step);
        }
        const std::optional<Refusal> refusal = decide();
        if (!refusal) {
            continue;
        }
        const NextStep end = m_sends.giveUp(m_relay->headSent());
        if (end != NextStep::kRefuse) {
            co_return co_await conclude(end);
        }
        co_return co_await answerRefusal(*refusal);
    }
}

void RelayedRequest::logAttempt(const UpstreamChoice& choice, MonoTime now) const {
    const std::string prompt =
        m_facts.sharedParts.empty() ? std::string() : m_facts.sharedParts.back();
    logEvent(Event::kAttemptStarted,
             {{"request", m_facts.id},
              {"attempt", std::to_string(m_sends.sends() + 1)},
              {"upstream", choice.upstream.id},
              {"reason", std::string(PlacementReasonName(choice.reason))},
              {"prompt", prompt},
              {"prompt_tokens", std::to_string(m_facts.promptTokens)},
              {"cache_source", choice.cacheSource ? choice.cacheSource->id : std::string()},
              {"after_ms", std::to_string(now - m_arrived)}});
}

std::string RelayedRequest::orderText(const UpstreamChoice& choice) const {
    UpstreamOrder order;
    order.upstreamId = choice.upstream.id;
    order.timeLeft = m_decision.until - ReadClocks().mono;
    order.team = m_decision.team.value;
    order.priority = m_decision.priority;
    order.resumeAfter = m_relay->headSent() ? m_relay->lastEvent() : std::nullopt;
    order.model = m_decision.spec != nullptr && m_decision.spec->model;
    order.fetchFrom = choice.cacheSource ? choice.cacheSource->address : std::string();
    HttpFields fields(m_message.base());
    DropConnectionHeaders(fields);
    m_state.dialect.writeOrder(fields, order);
    return RequestText(m_message, fields);
}

bool RelayedRequest::isLastSend(bool mayRepeat) const {
    return !mayRepeat || m_sends.sends() + 1 >= m_decision.route->maxAttempts;
}

// Until when the first byte of an answer is waited for, if the request may go elsewhere.
MonoTime RelayedRequest::firstAnswerUntil() const {
    const Route& route = *m_decision.route;
    if (isLastSend(route.repeatable)) {
        return m_decision.until;
    }
    const MonoTime now = ReadClocks().mono;
    const Millis half = (m_decision.until - now) / 2;
    const Millis least = route.stream ? m_state.settings.stallTimeout : half;
    return std::min(m_decision.until, now + std::max(least, 2 * route.objective));
}

MonoTime RelayedRequest::nextPieceUntil() const {
    if (isLastSend(m_decision.route->resumable)) {
        return m_decision.until;
    }
    return std::min(m_decision.until, ReadClocks().mono + m_state.settings.stallTimeout);
}

Task<RelayEnd> RelayedRequest::sendOnce(const UpstreamChoice& choice) {
    const MonoTime start = ReadClocks().mono;
    m_upstreamId = choice.upstream.id;
    logAttempt(choice, start);
    auto exchange = std::make_shared<UpstreamExchange>(m_state, choice.upstream, m_facts.id);
    m_caller.watch([exchange] { exchange->cancel(); });
    m_state.loads.enter(choice.upstream.id);
    const RelayEnd sent = co_await exchangeWith(*exchange, choice);
    m_caller.unwatch();
    exchange->finish();
    m_state.loads.leave(choice.upstream.id);
    m_timedOut = sent.timedOut;
    noteSend(*exchange, sent, start);
    co_return sent;
}

Task<RelayEnd> RelayedRequest::exchangeWith(UpstreamExchange& exchange,
                                            const UpstreamChoice& choice) {
    const MonoTime start = ReadClocks().mono;
    const Route& route = *m_decision.route;
    const Millis rest =
        route.repeatable ? m_state.settings.idleConnection : m_state.settings.onceConnection;
    const AttemptBounds bounds =
        AttemptBounds::For(route.objective, m_state.settings.connectTimeout);
    const Result<bool> connected = co_await exchange.connect(rest, bounds);
    // Time went by: what this box knows must still allow the send, and so must the caller.
    const bool allowed = connected.has_value() && !m_caller.gone() &&
                         (route.open || m_state.knowsKeys(ReadClocks().mono));
    if (!allowed) {
        co_return RelayEnd{SendEnd::kNotSent, false};
    }
    if (!m_counted) {
        m_state.allowance(m_decision.service).countFirst(start);
        m_counted = true;
    }
    m_state.metrics.count("onyx_sends_total", {{"service", m_decision.service.value}});
    std::string text = orderText(choice);
    const MonoTime until = firstAnswerUntil();
    const AnswerRead head = co_await exchange.send(std::move(text), until);
    if (head != AnswerRead::kPart) {
        co_return RelayEnd{SendEnd::kUnclear, head == AnswerRead::kTimeout};
    }
    // With the head of a good answer the upstream has read the prompt.
    if (exchange.facts().authentic) {
        m_state.caches.note(m_facts.sharedParts, choice.upstream.id, ReadClocks().mono);
    }
    if (exchange.facts().load) {
        m_state.loads.noteReportedLoad(choice.upstream.id, *exchange.facts().load,
                                       ReadClocks().mono);
    }
    const ReadDeadlines deadlines{[this] { return firstAnswerUntil(); },
                                  [this] { return nextPieceUntil(); }};
    co_return co_await m_relay->relay(exchange, route.stream, until, deadlines);
}

void RelayedRequest::noteSend(const UpstreamExchange& exchange, const RelayEnd& sent,
                              MonoTime start) {
    const Upstream& upstream = exchange.upstream();
    const MonoTime now = ReadClocks().mono;
    const std::string end(SendEndName(sent.end));
    const std::optional<UpstreamSign> sign = SignOfSend(sent.end, exchange.unreachable());
    if (sign && !m_caller.gone() && m_state.health.note(upstream.id, *sign, start, now)) {
        // Bytes sent on a kept connection may have arrived, those of a connection that does not
        // open have not: the request that tries this upstream next can still go elsewhere.
        m_state.pool.drop(upstream.id);
        logEvent(Event::kUpstreamEjected, {{"upstream", upstream.id}, {"after", end}});
    }
    m_state.metrics.count("onyx_send_ends_total", {{"end", end}});
    if (sent.end != SendEnd::kAnswered) {
        logSendEnd(exchange, sent, now - start);
    }
}

void RelayedRequest::logSendEnd(const UpstreamExchange& exchange, const RelayEnd& sent,
                                Millis took) const {
    const ConnectionReport& connection = exchange.connection();
    const auto& bytes = connection.unacknowledged;
    logEvent(Event::kSendEnded, {{"request", m_facts.id},
                                 {"upstream", exchange.upstream().id},
                                 {"end", std::string(SendEndName(sent.end))},
                                 {"timed_out", sent.timedOut ? "yes" : "no"},
                                 {"unreachable", exchange.unreachable() ? "yes" : "no"},
                                 {"took_ms", std::to_string(took)},
                                 {"connection", connection.kept ? "kept" : "new"},
                                 {"rested_ms", std::to_string(connection.rested)},
                                 {"ended_by", std::string(ConnectionEndName(connection.end))},
                                 {"unacknowledged", bytes ? std::to_string(*bytes) : "unknown"}});
}

AfterAnswer RelayedRequest::afterAnswer() const {
    return m_message.keep_alive() && !m_state.leaving ? AfterAnswer::kKeep : AfterAnswer::kClose;
}

// Carries out what is the last step of a request.
Task<AfterAnswer> RelayedRequest::conclude(NextStep step) {
    if (step == NextStep::kDeliver) {
        const bool written = co_await m_relay->finish();
        logDone("answered");
        co_return written ? afterAnswer() : AfterAnswer::kAborted;
    }
    if (step == NextStep::kBreak) {
        m_caller.abort();
        logDone("stream-broken");
        co_return AfterAnswer::kAborted;
    }
    Refusal refusal;
    if (step == NextStep::kRefuse) {
        refusal = RefusalOf(http::status::service_unavailable, "no upstream took the request",
                            kRetryAfterSoon);
    } else {
        const auto status = m_timedOut ? http::status::gateway_timeout : http::status::bad_gateway;
        refusal = RefusalOf(status, "the request may have run", std::nullopt);
    }
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
    const bool close = m_state.leaving || !m_message.keep_alive();
    std::string text = RefusalText(refusal.status, refusal.reason, fields, close);
    const bool written = co_await m_caller.write(std::move(text));
    const auto age = m_state.keysKnown.age(ReadClocks().mono);
    logEvent(
        Event::kRequestRefused,
        {{"request", m_facts.id},
         {"status", std::to_string(refusal.status)},
         {"reason", refusal.reason},
         {"upstream", m_upstreamId},
         {"may_have_run", m_sends.mayHaveRun() ? "yes" : "no"},
         {"configuration", m_state.catalog ? std::to_string(m_state.catalog->version()) : "none"},
         {"knowledge_age_ms", age ? std::to_string(*age) : "none"}});
    m_state.metrics.count("onyx_refusals_total",
                          {{"status", std::to_string(refusal.status)}, {"why", refusal.reason}});
    co_return written ? afterAnswer() : AfterAnswer::kAborted;
}

void RelayedRequest::logDone(std::string_view outcome) const {
    const Millis took = ReadClocks().mono - m_arrived;
    m_state.metrics.count("onyx_requests_total", {{"outcome", std::string(outcome)}});
    m_state.metrics.observe("onyx_request_ms", {{"route", m_decision.route->name}},
                            static_cast<double>(took));
    logEvent(Event::kRequestDone, {{"request", m_facts.id},
                                   {"route", m_decision.route->name},
                                   {"team", m_decision.team.value},
                                   {"outcome", std::string(outcome)},
                                   {"status", std::to_string(m_relay->status())},
                                   {"upstream", m_upstreamId},
                                   {"sends", std::to_string(m_sends.sends())},
                                   {"configuration", std::to_string(m_decision.catalog->version())},
                                   {"took_ms", std::to_string(took)}});
}

}  // namespace onyx
