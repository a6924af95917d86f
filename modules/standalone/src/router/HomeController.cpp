#include "modules/standalone/include/router/HomeController.h"

#include "include/base/Hash.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/membership/PeerTable.h"
#include "modules/standalone/include/router/RunChannel.h"

#include <nlohmann/json.hpp>

namespace onyx {

namespace {

constexpr Millis kTick = 20;

AdmitAsk ToAsk(Ticket ticket, const wire::RunRequestT& request, MonoTime now) {
    AdmitAsk ask;
    ask.ticket = ticket;
    ask.engine = EngineId(request.engine);
    ask.service = ServiceId(request.service);
    ask.chat = ChatId(request.chat);
    ask.team = TeamId(request.team);
    ask.weight = request.weight > 0 ? request.weight : 1.0;
    ask.priority = static_cast<Priority>(std::min<uint8_t>(request.priority, kPriorityCount - 1));
    ask.deadline = now + request.deadline_in_ms;
    ask.followNote = request.follow_note;
    ask.mayQueue = request.may_queue;
    ask.meanHint = request.mean_hint;
    return ask;
}

}  // namespace

HomeController::HomeController(RouterContext& context, PeerTable& peers)
    : m_context(context),
      m_peers(peers),
      m_engines(context.executor),
      m_services(context.executor),
      m_http(context.executor),
      m_admission(context.settings.home) {}

void HomeController::start() {
    m_context.config.addListener([this](const Snapshot&) { refreshHomes(); });
    Spawn(m_context.executor, tickLoop());
    Spawn(m_context.executor, pollLoop());
}

void HomeController::refreshHomes() {
    const auto snapshot = m_context.config.current();
    if (!snapshot) {
        return;
    }
    const MonoTime now = ReadClocks().mono;
    std::vector<HomedEngine> homed;
    std::set<EngineId> names;
    for (const auto& [id, engine] : snapshot->engines()) {
        const bool ownZone = engine.zone.value == m_context.settings.zone;
        if (!ownZone || m_peers.homeOf(id, engine.zone, now) != m_context.self) {
            continue;
        }
        homed.push_back({id, engine.service, snapshot->service(engine.service)->bound});
        names.insert(id);
    }
    if (names != m_homed) {
        logEvent(Event::kHomesChanged, {{"engines", std::to_string(names.size())}});
        m_homed = std::move(names);
    }
    perform(m_admission.setEngines(homed, now));
    applyLeaving();
}

bool HomeController::usable(const EngineConfig& engine) const {
    return !engine.leaving && !m_down.contains(engine.engine) &&
           !m_reportedLeaving.contains(engine.engine) &&
           !m_listedLeaving.contains(engine.engine.value);
}

void HomeController::applyLeaving() {
    const auto snapshot = m_context.config.current();
    for (const EngineId& id : m_homed) {
        const EngineConfig* engine = snapshot->engine(id);
        m_admission.setLeaving(id, engine == nullptr || !usable(*engine));
    }
}

void HomeController::setListedLeaving(std::set<std::string> boxes) {
    for (const std::string& box : boxes) {
        if (!m_listedLeaving.contains(box) && m_homed.contains(EngineId(box))) {
            logEvent(Event::kEngineLeaving, {{"engine", box}, {"sign", "box list"}});
        }
    }
    m_listedLeaving = std::move(boxes);
    applyLeaving();
}

void HomeController::markDown(const EngineId& engine, bool down) {
    const bool changed = down ? m_down.insert(engine).second : m_down.erase(engine) > 0;
    if (changed) {
        logEvent(Event::kEngineDown, {{"engine", engine.value}, {"down", down ? "yes" : "no"}});
        applyLeaving();
    }
}

std::vector<EngineLoad> HomeController::loads() const {
    return m_admission.loads(ReadClocks().mono);
}

bool HomeController::saidFull(const EngineId& engine) const {
    return m_admission.zone().saidFull(engine, ReadClocks().mono);
}

void HomeController::ask(const MemberId& asker, wire::RunRequestT request, RunSink sink) {
    const MonoTime now = ReadClocks().mono;
    const Ticket ticket = ++m_lastTicket;
    const AdmitAsk ask = ToAsk(ticket, request, now);
    Run& run = m_runs[ticket];
    run.asker = asker;
    run.askerId = request.id;
    run.request = std::move(request);
    run.sink = std::move(sink);
    m_byAsker[{asker, run.askerId}] = ticket;
    m_context.metrics.count("onyx_home_asks_total");
    perform(m_admission.ask(ask, now));
}

void HomeController::perform(const std::vector<HomeAction>& actions) {
    struct Visitor {
        HomeController& home;
        void operator()(const Admitted& action) { home.admitted(action); }
        void operator()(const Full& action) {
            home.verdict(action.ticket, wire::Verdict::Full, {}, action.load);
        }
        void operator()(const GoTo& action) {
            home.verdict(action.ticket, wire::Verdict::GoTo, action.engine, 0);
        }
        void operator()(const Queued&) { home.m_context.metrics.count("onyx_queued_total"); }
        void operator()(const Refused& action) { home.refused(action); }
        void operator()(const Preempt& action) { home.preempt(action); }
    };
    for (const HomeAction& action : actions) {
        std::visit(Visitor{*this}, action);
    }
}

void HomeController::admitted(const Admitted& admitted) {
    Run& run = m_runs.at(admitted.ticket);
    run.running = true;
    wire::RunVerdictT verdict;
    verdict.id = run.askerId;
    verdict.verdict = wire::Verdict::Admitted;
    verdict.engine = admitted.engine.value;
    SendTo(run.sink, std::move(verdict));
    Spawn(m_context.executor, runAdmitted(admitted.ticket, admitted.engine));
}

void HomeController::verdict(Ticket ticket, wire::Verdict kind, const EngineId& engine, int load) {
    const Run& run = m_runs.at(ticket);
    wire::RunVerdictT verdict;
    verdict.id = run.askerId;
    verdict.verdict = kind;
    verdict.engine = engine.value;
    verdict.load = static_cast<uint16_t>(std::min(load, 65535));
    SendTo(run.sink, std::move(verdict));
    m_byAsker.erase({run.asker, run.askerId});
    m_runs.erase(ticket);
}

void HomeController::refused(const Refused& refused) {
    const Run& run = m_runs.at(refused.ticket);
    SendTo(run.sink, RefusalVerdict(run.askerId, refused.refusal));
    m_byAsker.erase({run.asker, run.askerId});
    m_runs.erase(refused.ticket);
}

void HomeController::preempt(const Preempt& preempt) {
    const auto it = m_runs.find(preempt.ticket);
    if (it == m_runs.end()) {
        return;
    }
    logEvent(Event::kPreempted, {{"team", it->second.request.team}});
    m_context.metrics.count("onyx_preempted_total");
    it->second.preempted = true;
    it->second.handle->cancel();
}

void HomeController::cancel(const MemberId& asker, uint64_t id) {
    const auto it = m_byAsker.find({asker, id});
    if (it == m_byAsker.end()) {
        return;
    }
    const Ticket ticket = it->second;
    Run& run = m_runs.at(ticket);
    if (run.running) {
        run.handle->cancel();
        return;
    }
    m_byAsker.erase(it);
    m_runs.erase(ticket);
    perform(m_admission.done(ticket, ReadClocks().mono));
}

void HomeController::cancelAll(const MemberId& asker) {
    std::vector<uint64_t> ids;
    for (auto it = m_byAsker.lower_bound({asker, 0});
         it != m_byAsker.end() && it->first.first == asker; ++it) {
        ids.push_back(it->first.second);
    }
    for (const uint64_t id : ids) {
        cancel(asker, id);
    }
}

void HomeController::note(const wire::ChatNoteT& note) {
    m_admission.note(ChatId(note.chat), EngineId(note.engine), ReadClocks().mono);
}

void HomeController::digest(const MemberId& box, const wire::DigestT& digest) {
    const auto snapshot = m_context.config.current();
    if (!snapshot) {
        return;
    }
    std::map<uint32_t, const EngineId*> byHash;
    for (const auto& [id, engine] : snapshot->engines()) {
        byHash[static_cast<uint32_t>(HashText(id.value))] = &id;
    }
    std::vector<EngineLoad> loads;
    for (const wire::LoadEntry& entry : digest.loads) {
        const auto it = byHash.find(entry.engine());
        if (it != byHash.end()) {
            loads.push_back({*it->second, entry.load(), entry.full()});
        }
    }
    perform(m_admission.digest(box, digest.sequence, loads, ReadClocks().mono));
}

Task<> HomeController::runAdmitted(Ticket ticket, EngineId engineId) {
    const Run& run = m_runs.at(ticket);
    const auto snapshot = m_context.config.current();
    const EngineConfig* engine = snapshot ? snapshot->engine(engineId) : nullptr;
    wire::RunEndT end;
    if (engine == nullptr) {
        end.kind = wire::EndKind::Failed;
        end.retry_safe = true;
        end.detail = "engine left the configuration";
    } else if (run.request.kind == wire::RunKind::Chat) {
        end = co_await runChat(run, *engine);
    } else {
        end = co_await runPlain(run, *engine);
    }
    m_context.metrics.count("onyx_engine_runs_total", {{"engine", engineId.value}});
    end.id = run.askerId;
    SendTo(run.sink, std::move(end));
    m_byAsker.erase({run.asker, run.askerId});
    m_runs.erase(ticket);
    perform(m_admission.done(ticket, ReadClocks().mono));
}

Task<wire::RunEndT> HomeController::runChat(const Run& run, const EngineConfig& engine) {
    EngineRun work;
    work.engine = engine.address;
    work.upstreamId = m_context.nextUpstreamId();
    work.body.assign(run.request.body.begin(), run.request.body.end());
    work.chat = run.request.chat;
    work.priority = PriorityName(static_cast<Priority>(run.request.priority));
    work.resumeFrom = run.request.resume_from;
    work.stallTimeout = m_context.settings.stallTimeout;
    work.headTimeout = m_context.settings.stallTimeout;
    const RunSink sink = run.sink;
    const uint64_t id = run.askerId;
    const EngineClient::OnToken onToken = [sink, id](uint32_t index, const std::string& token) {
        wire::RunChunkT chunk;
        chunk.id = id;
        chunk.index = index;
        chunk.data.assign(token.begin(), token.end());
        SendTo(sink, std::move(chunk));
    };
    const EngineRunEnd result = co_await m_engines.run(std::move(work), run.handle, onToken);
    wire::RunEndT end;
    end.status = result.status;
    end.retry_safe = !result.written;
    end.prompt_tokens = result.promptTokens;
    end.cached_tokens = result.cachedTokens;
    end.completion_tokens = result.completionTokens;
    end.detail = result.detail;
    if (result.complete) {
        end.kind = wire::EndKind::Complete;
    } else if (run.preempted) {
        end.kind = wire::EndKind::Preempted;
    } else {
        end.kind = result.written ? wire::EndKind::Broken : wire::EndKind::Failed;
    }
    if (result.refused) {
        markDown(engine.engine, true);
    }
    co_return end;
}

Task<wire::RunEndT> HomeController::runPlain(const Run& run, const EngineConfig& engine) {
    ServiceCall call;
    call.service = engine.address;
    call.upstreamId = m_context.nextUpstreamId();
    call.method = run.request.method;
    call.target = run.request.target;
    call.contentType = run.request.content_type;
    call.body.assign(run.request.body.begin(), run.request.body.end());
    call.timeout = std::max<Millis>(1, run.request.deadline_in_ms);
    const ServiceAnswer answer = co_await m_services.call(std::move(call));
    wire::RunEndT end;
    end.status = answer.status;
    end.content_type = answer.contentType;
    end.retry_safe = !answer.written;
    end.detail = answer.detail;
    constexpr uint16_t kServerError = 500;
    const bool usable = answer.answered && answer.status < kServerError;
    end.kind = usable ? wire::EndKind::Complete : wire::EndKind::Broken;
    if (usable) {
        wire::RunChunkT chunk;
        chunk.id = run.askerId;
        chunk.data.assign(answer.body.begin(), answer.body.end());
        SendTo(run.sink, std::move(chunk));
    }
    if (answer.refused) {
        markDown(engine.engine, true);
    }
    co_return end;
}

Task<> HomeController::tickLoop() {
    while (true) {
        co_await SleepFor(kTick);
        perform(m_admission.tick(ReadClocks().mono));
    }
}

Task<> HomeController::pollLoop() {
    while (true) {
        const auto snapshot = m_context.config.current();
        if (snapshot) {
            for (const EngineId& id : m_homed) {
                const EngineConfig* engine = snapshot->engine(id);
                auto& polling = m_polling[id];
                if (!polling) {
                    polling = std::make_shared<bool>(false);
                }
                if (engine != nullptr && !*polling) {
                    *polling = true;
                    Spawn(m_context.executor, pollEngine(*engine));
                }
            }
        }
        co_await SleepFor(m_context.settings.loadPollPeriod);
    }
}

Task<> HomeController::pollEngine(EngineConfig engine) {
    const std::shared_ptr<bool> polling = m_polling[engine.engine];
    HttpOutgoing request;
    request.target = "/v1/load";
    auto answer =
        co_await m_http.call(engine.address, std::move(request), m_context.settings.hopTimeout);
    *polling = false;
    if (answer.has_error()) {
        if (answer.error().code == ErrorCode::kUnavailable) {
            markDown(engine.engine, true);
        }
        co_return;
    }
    const auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
    if (answer.value().status == 404) {
        markDown(engine.engine, false);  // A plain service: it lives, but reports no load.
        co_return;
    }
    if (!body.is_object()) {
        co_return;
    }
    markDown(engine.engine, false);
    const bool leaving = body.value("leaving", false);
    const bool changed = leaving ? m_reportedLeaving.insert(engine.engine).second
                                 : m_reportedLeaving.erase(engine.engine) > 0;
    if (changed) {
        logEvent(Event::kEngineLeaving, {{"engine", engine.engine.value},
                                         {"sign", "report"},
                                         {"leaving", leaving ? "yes" : "no"}});
        applyLeaving();
    }
    EngineReport report;
    report.engine = engine.engine;
    report.inFlight = body.value("in_flight", 0);
    report.age = body.value("age_ms", Millis{0});
    perform(m_admission.report(report, ReadClocks().mono));
}

}  // namespace onyx
