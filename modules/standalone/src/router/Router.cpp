#include "modules/standalone/include/router/Router.h"

#include "include/observe/Events.h"
#include "modules/standalone/include/router/Filters.h"
#include "modules/standalone/include/router/KeyedCall.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace onyx {

namespace {

constexpr Millis kDrainStep = 50;
constexpr Millis kDrainQuiet = 300;  // Peers learn of the drain before the links close.

}  // namespace

Router::Router(asio::io_context& io, RouterSettings settings, Tcp::acceptor acceptor)
    : m_io(io),
      m_context(io.get_executor(), std::move(settings)),
      m_acceptor(std::move(acceptor)),
      m_table({m_context.self, ZoneId(m_context.settings.zone), m_context.settings.advertised},
              m_context.settings.peerTimeout),
      m_home(m_context, m_table),
      m_peers(m_context, m_table, m_home),
      m_agent(m_context),
      m_keys(m_context, m_table, m_peers, m_home, m_agent),
      m_retries(m_context.settings.retryShare),
      m_dispatch{m_peers, m_table, m_home, m_retries} {
    m_peers.setOnKeyed([this](const MemberId& asker, wire::RunRequestT request, RunSink sink) {
        m_keys.onRun(asker, std::move(request), std::move(sink));
    });
    m_peers.setOnMessage(
        [this](const MemberId& from, wire::BodyUnion& body) { m_keys.onMessage(from, body); });
    m_peers.setOnDigest([this](const MemberId& from, const wire::DigestT& digest) {
        m_keys.onDigest(from, digest);
    });
    m_agent.setOnBoxes([this](const wire::BoxListT& list) { onBoxes(list); });
}

Result<std::unique_ptr<Router>> Router::Make(asio::io_context& io, RouterSettings settings) {
    BOOST_OUTCOME_TRY(Tcp::acceptor acceptor, Listen(io, settings.peers, "router.listen"));
    if (settings.advertised.empty()) {
        settings.advertised = EndpointText(acceptor.local_endpoint());
    }
    const Endpoint callers = settings.callers;
    const Endpoint metrics = settings.metrics;
    std::unique_ptr<Router> router(new Router(io, std::move(settings), std::move(acceptor)));
    Router& self = *router;
    auto callerServer = HttpServer::Make(
        io, callers, {}, [&self](HttpExchange& exchange) { return self.handleCall(exchange); });
    if (callerServer.has_error()) {
        return std::move(callerServer).error();
    }
    auto metricsServer = HttpServer::Make(
        io, metrics, {}, [&self](HttpExchange& exchange) { return self.handleMetrics(exchange); });
    if (metricsServer.has_error()) {
        return std::move(metricsServer).error();
    }
    router->m_callers = std::move(callerServer).value();
    router->m_metricsServer = std::move(metricsServer).value();
    router->m_home.start();
    router->m_peers.start();
    router->m_keys.start();
    const auto greet = [raw = router.get()](Tcp::socket socket) {
        Spawn(raw->m_context.executor, raw->greet(std::move(socket)));
    };
    Spawn(io.get_executor(), AcceptAll(router->m_acceptor, greet));
    return router;
}

Task<> Router::greet(Tcp::socket socket) {
    auto accepted = co_await FrameLink::Accept(std::move(socket), m_peers.hello());
    if (accepted.has_error()) {
        co_return;
    }
    const std::shared_ptr<FrameLink> link = accepted.value();
    if (link->peer().role == wire::LinkRole::Agent) {
        m_agent.accepted(link);
    } else {
        m_peers.accepted(link);
    }
}

void Router::onBoxes(const wire::BoxListT& list) {
    std::map<std::string, std::string> addresses;
    std::set<std::string> leaving;
    std::set<std::string> names;
    for (const auto& box : list.boxes) {
        names.insert(box->box);
        if (!box->address.empty()) {
            addresses[box->address] = box->box;
        }
        if (box->leaving) {
            leaving.insert(box->box);
        }
    }
    if (leaving.contains(m_context.settings.box)) {
        drain();
    }
    m_peers.setListed(std::move(addresses));
    m_home.setListedLeaving(std::move(leaving));
    m_keys.onBoxes(std::move(names));
}

Task<> Router::handleCall(HttpExchange& exchange) {
    CallContext call(exchange);
    call.arrivedAt = ReadClocks().mono;
    auto problem = RunFilters(RequestChain(), m_context, call);
    if (problem) {
        if (!exchange.header("Idempotency-Key").empty()) {
            // It speaks of the key, and only the key's owner may say that it did not run.
            problem->outcome = RunOutcome::kUnknown;
        }
        m_context.metrics.count("onyx_problems_total", {{"type", problem->type}});
        co_await SendProblem(exchange, *problem);
        co_return;
    }
    const ZoneId zone(m_context.settings.zone);
    const auto boxes = m_table.reachable(call.arrivedAt).size() + 1;
    const TeamId team = call.team->team;
    if (!m_limiter.enter(team, call.team->maxInFlight, static_cast<int>(boxes))) {
        // For a key, an earlier attempt may have run elsewhere: only its owner may say not-run.
        const RunOutcome outcome = call.key.empty() ? RunOutcome::kNotRun : RunOutcome::kUnknown;
        m_context.metrics.count("onyx_refused_total", {{"type", "team-limit"}});
        const Problem full =
            ProblemOf({RefusalReason::kTeamLimit, outcome, kComeBackSoon, "team " + team.value});
        co_await SendProblem(exchange, full);
        co_return;
    }
    const TeamLimiter::Place place(m_limiter, team);
    const CallResult result = co_await dispatch(call);
    countResult(call, result);
}

Task<CallResult> Router::dispatch(CallContext& call) {
    if (!call.key.empty()) {
        KeyedCall keyed(m_context, m_dispatch, m_keys, call);
        co_return co_await keyed.serve();
    }
    PlacedCall placed(m_context, m_dispatch, call);
    co_return co_await placed.serve();
}

void Router::countResult(const CallContext& call, const CallResult& result) {
    if (result.callerGone) {
        m_context.metrics.count("onyx_callers_gone_total");
        return;
    }
    const MetricLabels labels = {{"service", call.service->service.value},
                                 {"team", call.team->team.value},
                                 {"priority", std::string(PriorityName(call.priority))}};
    const Millis took = ReadClocks().mono - call.arrivedAt;
    const Millis firstByte = result.firstByte >= 0 ? result.firstByte : took;
    const bool inTime = firstByte <= call.service->objectiveMs;
    m_context.metrics.count("onyx_slo_total", labels);
    m_context.metrics.count("onyx_slo_bad_total", labels, result.good && inTime ? 0 : 1);
    m_context.metrics.observe("onyx_first_byte_ms", {{"service", call.service->service.value}},
                              static_cast<double>(firstByte));
}

std::string Router::metricsText() {
    Metrics& metrics = m_context.metrics;
    metrics.set("onyx_config_revision", {}, static_cast<double>(m_context.config.revision()));
    metrics.set("onyx_home_active", {}, static_cast<double>(m_home.active()));
    metrics.set("onyx_peers", {}, static_cast<double>(m_table.reachable(ReadClocks().mono).size()));
    metrics.set("onyx_control_bytes_sent", {}, static_cast<double>(m_peers.controlBytesSent()));
    for (const EngineLoad& load : m_home.loads()) {
        metrics.set("onyx_engine_load", {{"engine", load.engine.value}}, load.load);
    }
    const KeyOwner& owner = m_keys.owner();
    const bool lease = owner.keeper().leaseValid(ReadClocks());
    metrics.set("onyx_roster_epoch", {}, static_cast<double>(owner.keeper().roster().epoch));
    metrics.set("onyx_lease_valid", {}, lease ? 1 : 0);
    metrics.set("onyx_ledger_keys", {}, static_cast<double>(owner.ledger().size()));
    return metrics.text();
}

Task<> Router::handleMetrics(HttpExchange& exchange) {
    const std::string_view target = exchange.request().target();
    if (target == "/metrics") {
        co_await exchange.respond(200, {}, "text/plain; version=0.0.4", metricsText());
    } else if (target == "/healthz") {
        co_await exchange.respond(200, {}, "text/plain", "ok\n");
    } else if (target == "/readyz") {
        const bool ready = m_context.config.revision() > 0 && !m_context.draining;
        co_await exchange.respond(ready ? 200 : 503, {}, "text/plain", ready ? "ready\n" : "no\n");
    } else {
        co_await exchange.respond(404, {}, "text/plain",
                                  "expected /metrics, /healthz or /readyz\n");
    }
}

void Router::drain() {
    if (m_context.draining) {
        return;
    }
    m_context.draining = true;
    m_table.setSelfDraining(true);
    logEvent(Event::kDrainStarted, {{"box", m_context.settings.box}});
    Spawn(m_context.executor, drainTask());
}

Task<> Router::drainTask() {
    m_home.refreshHomes();
    m_peers.sendDigestToAll();
    const MonoTime limit = ReadClocks().mono + m_context.settings.drainLimit;
    m_keys.leave();
    co_await SleepFor(kDrainQuiet);
    while (ReadClocks().mono < limit &&
           (m_home.active() > 0 || m_callers->active() > 0 || !m_keys.left())) {
        co_await SleepFor(kDrainStep);
    }
    logEvent(Event::kDrainDone, {{"left", std::to_string(m_home.active() + m_callers->active())}});
    co_await SleepFor(kDrainQuiet);
    m_io.stop();
}

}  // namespace onyx
