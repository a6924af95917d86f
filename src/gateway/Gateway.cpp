#include "include/gateway/Gateway.h"

#include "include/gateway/CallerConnection.h"
#include "include/gateway/HttpText.h"
#include "include/gateway/RelayedRequest.h"
#include "include/observe/Events.h"

namespace onyx {

namespace {

constexpr Millis kDrainLook = 20;
constexpr Millis kTrimPeriod = 1000;

}  // namespace

Gateway::Gateway(asio::io_context& io, const GatewaySettings& settings, const Dialect& dialect)
    : m_state(io, settings, dialect),
      m_acceptor(io),
      m_peers(m_state, {[this](const std::string& from, const wire::KnowledgeAskT& ask) {
                            m_knowledge.onAsk(from, ask);
                        },
                        [this](const std::string& from, const wire::KnowledgeReplyT& reply) {
                            m_knowledge.onReply(from, reply);
                        }}),
      m_knowledge(m_state, m_peers,
                  {[this](const PeerNews& news) { onPeerNews(news); },
                   [this](bool following) { onFollowing(following); },
                   [this](ObjectKind kind) { watchOf(kind).refresh(); }}) {}

Result<std::unique_ptr<Gateway>> Gateway::Make(asio::io_context& io,
                                               const GatewaySettings& settings,
                                               const Dialect& dialect) {
    std::unique_ptr<Gateway> gateway(new Gateway(io, settings, dialect));
    BOOST_OUTCOME_TRY(gateway->listen());
    BOOST_OUTCOME_TRY(gateway->m_peers.start());
    gateway->followStore();
    const auto serve = [raw = gateway.get()](Tcp::socket socket) {
        auto caller = std::make_shared<CallerConnection>(std::move(socket));
        Spawn(raw->m_state.io.get_executor(), raw->serveCaller(std::move(caller)));
    };
    Spawn(io.get_executor(), AcceptAll(gateway->m_acceptor, serve));
    Spawn(io.get_executor(), gateway->trimConnections());
    Spawn(io.get_executor(), gateway->m_knowledge.run());
    return gateway;
}

Result<bool> Gateway::listen() {
    const GatewaySettings& settings = m_state.settings;
    BOOST_OUTCOME_TRY(m_acceptor, Listen(m_state.io, settings.callers, "gateway.listen"));
    const HttpLimits limits;
    BOOST_OUTCOME_TRY(m_readiness,
                      HttpServer::Make(m_state.io, settings.readiness, limits,
                                       [this](HttpExchange& e) { return answerReadiness(e); }));
    BOOST_OUTCOME_TRY(m_metrics,
                      HttpServer::Make(m_state.io, settings.metrics, limits,
                                       [this](HttpExchange& e) { return answerMetrics(e); }));
    return true;
}

void Gateway::followStore() {
    const GatewaySettings& settings = m_state.settings;
    const auto follow = [&](ObjectKind kind, auto rest, auto onNews) {
        StoreWatchSettings watch;
        watch.store = settings.store;
        watch.kind = kind;
        watch.timeout = settings.storeTimeout;
        watch.staggered = kind == ObjectKind::kConfiguration;
        StoreWatch::Sink sink;
        sink.onNews = onNews;
        sink.onReachable = [this, kind](const std::string& why) { onReachable(kind, why); };
        sink.rest = std::move(rest);
        sink.wait = [this, kind] { return watchWait(kind); };
        sink.maxPause = [this] { return MaxPauseAfterFailure(pacingFacts()); };
        sink.restAfterList = [this] {
            return PauseAfterList(m_state.settings.pacing, pacingFacts());
        };
        sink.onCall = [this] { m_state.metrics.count("onyx_store_calls_total"); };
        auto made = std::make_unique<StoreWatch>(m_state.io.get_executor(), m_state.dialect, watch,
                                                 std::move(sink));
        Spawn(m_state.io.get_executor(), made->run());
        return made;
    };
    m_configurationWatch = follow(
        ObjectKind::kConfiguration, [] { return Millis{0}; },
        [this](const StoreNews& news) { onConfiguration(news); });
    m_upstreamWatch = follow(
        ObjectKind::kUpstreams,
        [this] { return PauseAfterChanges(m_state.settings.pacing, pacingFacts()); },
        [this](const StoreNews& news) { onUpstreams(news); });
}

StorePacingFacts Gateway::pacingFacts() const {
    return {m_knowledge.watchesForOthers(), m_knowledge.inSmallZone(), knowsEnough(),
            m_state.boxesKnown};
}

Millis Gateway::watchWait(ObjectKind kind) const {
    const StorePacingSettings& pacing = m_state.settings.pacing;
    const bool configuration = kind == ObjectKind::kConfiguration;
    return HeldWait(pacing, pacingFacts(),
                    configuration ? pacing.configurationWait : pacing.upstreamWait);
}

StoreWatch& Gateway::watchOf(ObjectKind kind) {
    return kind == ObjectKind::kConfiguration ? *m_configurationWatch : *m_upstreamWatch;
}

void Gateway::onFollowing(bool following) {
    for (StoreWatch* watch : {m_configurationWatch.get(), m_upstreamWatch.get()}) {
        if (following) {
            watch->pause();
        } else {
            watch->resume();
        }
    }
}

void Gateway::onReachable(ObjectKind kind, const std::string& why) {
    const bool upstreams = kind == ObjectKind::kUpstreams;
    const std::string_view what = upstreams ? "upstreams" : "configuration";
    bool& told = upstreams ? m_state.upstreamsTold : m_state.configurationTold;
    told = why.empty();
    if (why.empty()) {
        logEvent(Event::kStoreUp, {{"objects", std::string(what)}});
    } else {
        logEvent(Event::kStoreDown, {{"objects", std::string(what)}, {"why", why}});
    }
}

void Gateway::onConfiguration(const StoreNews& news) {
    for (const StoredObject& object : news.objects) {
        if (object.name == m_state.dialect.configurationName() && !object.gone) {
            takeConfiguration(object.content);
        }
    }
    m_state.keysKnown.confirm(news.asOf);
}

// What a peer knows counts only together with the configuration that it knows.
void Gateway::onPeerNews(const PeerNews& news) {
    if (!news.content.empty()) {
        const auto content = nlohmann::json::parse(news.content, nullptr, false);
        if (!content.is_discarded()) {
            logEvent(Event::kConfigFromPeer, {{"revision", std::to_string(news.revision)}});
            takeConfiguration(content);
        }
    }
    if (m_state.catalog && m_state.catalog->version() >= news.revision) {
        m_state.keysKnown.confirm(news.asOf);
    }
    // A box that knows less than this one changes nothing.
    if (news.upstreams && news.upstreams->revision >= m_state.upstreams.revision()) {
        applyUpstreams(*news.upstreams, "peer");
    }
    if (news.upstreamsAsOf && m_state.upstreams.revision() >= news.upstreamsRevision) {
        m_state.upstreamsKnown.confirm(*news.upstreamsAsOf);
    }
}

void Gateway::takeConfiguration(const nlohmann::json& content) {
    Result<CatalogParts> parts = m_state.dialect.readConfiguration(content);
    if (parts.has_error()) {
        logEvent(Event::kConfigCorrupt, {{"why", parts.error().text()}});
        return;
    }
    const uint64_t version = parts.value().version;
    if (m_state.catalog && version <= m_state.catalog->version()) {
        if (version < m_state.catalog->version()) {
            logEvent(Event::kConfigStale, {{"revision", std::to_string(version)}});
        }
        return;
    }
    auto catalog = Catalog::Make(std::move(parts.value()));
    if (catalog.has_error()) {
        logEvent(Event::kConfigCorrupt, {{"why", catalog.error().text()}});
        return;
    }
    m_state.catalog = catalog.value();
    m_state.catalogContent = content.dump();
    logEvent(Event::kCatalogInForce, {{"revision", std::to_string(version)},
                                      {"routes", std::to_string(m_state.catalog->routeCount())}});
}

void Gateway::onUpstreams(const StoreNews& news) {
    // What another box told may be ahead of an answer of the store that was on its way.
    if (news.whole || news.revision >= m_state.upstreams.revision()) {
        applyUpstreams(readUpstreams(news), "store");
    }
    m_state.upstreamsKnown.confirm(news.asOf);
}

UpstreamChanges Gateway::readUpstreams(const StoreNews& news) {
    UpstreamChanges changes;
    changes.whole = news.whole;
    changes.revision = news.revision;
    std::set<std::string> seen;
    // The last word on an object counts: an upstream may leave and go within one answer.
    for (auto it = news.objects.rbegin(); it != news.objects.rend(); ++it) {
        const StoredObject& object = *it;
        if (!seen.insert(object.name).second) {
            continue;
        }
        if (object.gone) {
            changes.removed.push_back(object.name);
            continue;
        }
        auto upstream = m_state.dialect.readUpstreamObject(object.name, object.content);
        if (upstream.has_value()) {
            changes.changed.push_back(std::move(upstream.value()));
            continue;
        }
        logEvent(Event::kObjectBad, {{"object", object.name}, {"why", upstream.error().text()}});
        if (const Upstream* known = m_state.upstreams.find(object.name)) {
            changes.changed.push_back(*known);
        }
    }
    return changes;
}

void Gateway::applyUpstreams(const UpstreamChanges& changes, std::string_view source) {
    std::vector<std::string> gone = changes.removed;
    if (changes.whole) {
        std::set<std::string> listed;
        for (const Upstream& upstream : changes.changed) {
            listed.insert(upstream.id);
        }
        for (const auto& [id, entry] : m_state.upstreams.all()) {
            if (!listed.contains(id)) {
                gone.push_back(id);
            }
        }
    }
    for (const std::string& id : gone) {
        forgetUpstream(id, changes.revision, source);
    }
    for (const Upstream& upstream : changes.changed) {
        takeUpstream(upstream, changes.revision, source);
    }
    m_state.upstreams.setRevision(changes.revision);
    if (!m_state.upstreamsListed) {
        m_state.upstreamsListed = true;
        logEvent(Event::kUpstreamsListed,
                 {{"count", std::to_string(m_state.upstreams.all().size())},
                  {"revision", std::to_string(changes.revision)},
                  {"source", std::string(source)}});
    }
}

void Gateway::takeUpstream(const Upstream& upstream, uint64_t revision, std::string_view source) {
    const Upstream* known = m_state.upstreams.find(upstream.id);
    if (known != nullptr && *known == upstream) {
        return;
    }
    if (upstream.leaving) {
        m_state.pool.drop(upstream.id);
    }
    // The first list is told by one line: a box of a large site would log for a second otherwise.
    if (m_state.upstreamsListed) {
        logUpstream(upstream, source);
    }
    // What was there before this box looked counts as old.
    const MonoTime since = m_state.upstreamsListed ? ReadClocks().mono : MonoTime{};
    m_state.upstreams.put(upstream, since, revision);
}

void Gateway::logUpstream(const Upstream& upstream, std::string_view source) const {
    logEvent(Event::kUpstreamChanged, {{"upstream", upstream.id},
                                       {"service", upstream.service.value},
                                       {"address", upstream.address},
                                       {"state", upstream.leaving ? "leaving" : "ready"},
                                       {"source", std::string(source)}});
}

void Gateway::forgetUpstream(const std::string& id, uint64_t revision, std::string_view source) {
    if (m_state.upstreams.find(id) == nullptr) {
        return;
    }
    m_state.upstreams.remove(id, revision);
    m_state.pool.drop(id);
    m_state.health.forget(id);
    m_state.loads.forget(id);
    logEvent(Event::kUpstreamChanged,
             {{"upstream", id}, {"state", "gone"}, {"source", std::string(source)}});
}

bool Gateway::knowsEnough() const {
    return KnowsEnough(m_state.settings.admission, m_state.knowledge(ReadClocks().mono));
}

bool Gateway::ready() const {
    return !m_state.lifecycle.draining() && knowsEnough();
}

Task<> Gateway::answerReadiness(HttpExchange& exchange) {
    const bool now = ready();
    if (now != m_toldReady) {
        m_toldReady = now;
        logEvent(Event::kReadiness, {{"ready", now ? "yes" : "no"}});
    }
    const bool known = exchange.request().target() == m_state.dialect.readinessTarget();
    const unsigned status = !known ? 404 : now ? 200 : 503;
    const HttpHeaders headers;
    co_await exchange.respond(status, headers, "text/plain", now ? "ready" : "not ready");
}

Task<> Gateway::answerMetrics(HttpExchange& exchange) {
    const auto age = m_state.keysKnown.age(ReadClocks().mono);
    m_state.metrics.set("onyx_active_requests", {},
                        static_cast<double>(m_state.lifecycle.activeRequests()));
    m_state.metrics.set("onyx_knowledge_age_ms", {}, static_cast<double>(age.value_or(-1)));
    const std::string text = m_state.metrics.text();
    const HttpHeaders headers;
    co_await exchange.respond(200, headers, "text/plain; version=0.0.4", text);
}

Task<> Gateway::trimConnections() {
    while (true) {
        co_await SleepFor(kTrimPeriod);
        m_state.pool.trim(m_state.settings.idleConnection, ReadClocks().mono);
    }
}

Task<> Gateway::serveCaller(std::shared_ptr<CallerConnection> caller) {
    while (true) {
        const CallerLimits limits = m_state.catalog ? m_state.catalog->limits() : CallerLimits();
        m_resting.insert(caller);
        ReadRequest request = co_await caller->read(limits);
        m_resting.erase(caller);
        if (request.end == ReadEnd::kClosed) {
            caller->abort();
            co_return;
        }
        if (request.end != ReadEnd::kRequest) {
            co_await answerBad(*caller, request);
            co_return;
        }
        RelayedRequest relayed(m_state, *caller, std::move(request));
        const AfterAnswer after = co_await relayed.run();
        if (after == AfterAnswer::kAborted) {
            caller->abort();
            co_return;
        }
        if (after == AfterAnswer::kClose) {
            co_await caller->linger();
            co_return;
        }
    }
}

Task<> Gateway::answerBad(CallerConnection& caller, const ReadRequest& request) {
    const unsigned status = request.end == ReadEnd::kTooLarge ? 413
                            : request.end == ReadEnd::kSlow   ? 408
                                                              : 400;
    logEvent(Event::kCallerBad, {{"status", std::to_string(status)}, {"why", request.problem}});
    m_state.metrics.count("onyx_bad_requests_total", {{"status", std::to_string(status)}});
    const HttpFields fields;
    std::string text = RefusalText(status, request.problem, fields, true);
    co_await caller.write(std::move(text));
    co_await caller.linger();
}

void Gateway::drain(std::function<void()> done) {
    m_state.lifecycle.startDraining();
    logEvent(Event::kDrainStarted,
             {{"active", std::to_string(m_state.lifecycle.activeRequests())}});
    Spawn(m_state.io.get_executor(), runDrain(std::move(done)));
}

// The balancer lets go after two questions without a good answer; until then new requests are
// still taken. Afterwards connections that rest are closed, and what is under way may end.
Task<> Gateway::runDrain(std::function<void()> done) {
    const MonoTime start = ReadClocks().mono;
    co_await SleepFor(m_state.settings.drain.accept);
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_state.lifecycle.startRefusing();
    const std::set<std::shared_ptr<CallerConnection>> resting = m_resting;
    for (const auto& caller : resting) {
        caller->endRest();
    }
    while (!m_state.lifecycle.mayEnd(m_state.settings.drain, ReadClocks().mono - start)) {
        co_await SleepFor(kDrainLook);
    }
    // The last answers are written; callers get a moment to take them.
    co_await SleepFor(kDrainLook);
    logEvent(Event::kDrainDone, {{"left", std::to_string(m_state.lifecycle.activeRequests())}});
    done();
}

}  // namespace onyx
