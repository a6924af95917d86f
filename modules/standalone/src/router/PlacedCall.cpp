#include "modules/standalone/include/router/PlacedCall.h"

#include "include/observe/Events.h"
#include "modules/standalone/include/placement/RendezvousOrder.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace onyx {

using nlohmann::json;

namespace {

constexpr size_t kMostChoices = 16;  // Engines of each zone kind that one placement looks at.
constexpr std::string_view kEventStream = "text/event-stream";

// As JSON; bytes of an engine that are not UTF-8 are replaced.
std::string Dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json UsageOf(const wire::RunEndT& end, uint32_t tokens) {
    return {{"prompt_tokens", end.prompt_tokens},
            {"cached_tokens", end.cached_tokens},
            {"completion_tokens", tokens}};
}

}  // namespace

PlacedCall::PlacedCall(RouterContext& context, Dispatch& dispatch, CallContext& call)
    : m_context(context),
      m_dispatch(dispatch),
      m_call(call),
      m_placement({}),
      m_id("chatcmpl-" + context.nextUpstreamId()) {
    if (m_call.chat.empty()) {
        m_call.chat = ChatId(m_id);  // Not a returning chat: any engine will do.
    }
}

std::vector<EngineChoice> PlacedCall::choices() const {
    const MonoTime now = ReadClocks().mono;
    const ZoneId ownZone(m_context.settings.zone);
    std::map<ZoneId, bool> reachable;
    std::vector<EngineId> near;
    std::vector<EngineId> far;
    for (const auto& [id, engine] : m_call.snapshot->engines()) {
        if (engine.service != m_call.service->service || !m_dispatch.home.usable(engine) ||
            m_failed.contains(id)) {
            continue;
        }
        // One order over the site: a chat comes back through any zone's box, and its prefix is
        // worth more than the hop. A zone without a live box here has no homes to ask.
        const auto [zone, added] = reachable.try_emplace(engine.zone, false);
        if (added) {
            zone->second = !m_dispatch.table.live(engine.zone, now).empty();
        }
        if (zone->second) {
            (m_call.service->chat || engine.zone == ownZone ? near : far).push_back(id);
        }
    }
    std::vector<EngineChoice> choices;
    for (const auto* list : {&near, &far}) {
        for (const uint32_t i : RendezvousOrder(m_call.chat, *list, kMostChoices)) {
            const EngineId& engine = (*list)[i];
            choices.push_back({engine, list == &near, m_dispatch.home.saidFull(engine)});
        }
    }
    return choices;
}

Millis PlacedCall::left() const {
    return m_call.deadline - ReadClocks().mono;
}

wire::RunRequestT PlacedCall::makeRequest(const PlacementAsk& ask) {
    wire::RunRequestT request;
    request.id = m_dispatch.peers.nextRunId();
    request.kind = m_call.service->chat ? wire::RunKind::Chat : wire::RunKind::Plain;
    request.method = std::string(m_call.exchange.request().method_string());
    request.target = m_call.target;
    request.content_type = std::string(m_call.exchange.header("Content-Type"));
    request.service = m_call.service->service.value;
    request.team = m_call.team->team.value;
    request.weight = m_call.team->weight;
    request.priority = static_cast<uint8_t>(m_call.priority);
    request.deadline_in_ms = left();
    request.engine = ask.engine.value;
    request.chat = m_call.chat.value;
    request.follow_note = ask.followNote;
    request.may_queue = ask.mayQueue;
    request.mean_hint = static_cast<float>(ask.meanHint);
    request.resume_from = m_tokens.next();
    const std::string& body = m_call.exchange.request().body();
    request.body.assign(body.begin(), body.end());
    return request;
}

Refusal PlacedCall::refusal(RefusalReason reason, const char* detail) const {
    const RunOutcome outcome = m_written ? RunOutcome::kUnknown : RunOutcome::kNotRun;
    return {reason, outcome, kComeBackSoon, detail};
}

Task<CallResult> PlacedCall::serve() {
    m_dispatch.retries.countFirstTry();
    m_call.exchange.watchCaller([this] {
        m_callerGone = true;
        if (m_channel) {
            m_channel->post(CallerGone{});
        }
    });
    m_placement = EntryPlacement(choices());
    Step step = Step::kNextEngine;
    while (step != Step::kFinished && !m_callerGone) {
        if (left() <= 0) {
            const Refusal late = refusal(RefusalReason::kDeadline, "deadline passed");
            co_await giveUp(late);
            break;
        }
        if (step == Step::kAnotherAttempt) {
            m_placement = EntryPlacement(choices());
        }
        const std::optional<PlacementAsk> ask = m_placement.next();
        if (!ask) {
            const Refusal none = refusal(RefusalReason::kNoUpstream, "no engine can be reached");
            co_await giveUp(m_refusal ? *m_refusal : none);
            break;
        }
        step = co_await askHome(*ask);
    }
    m_result.callerGone = m_callerGone;
    m_context.metrics.observe("onyx_home_asks_per_request", {}, m_placement.asks());
    co_return m_result;
}

Task<PlacedCall::Step> PlacedCall::askHome(const PlacementAsk& ask) {
    const EngineConfig* engine = m_call.snapshot->engine(ask.engine);
    if (engine == nullptr) {
        m_placement.exclude(ask.engine);
        co_return Step::kNextEngine;
    }
    const auto home = m_dispatch.table.homeOf(ask.engine, engine->zone, ReadClocks().mono);
    if (!home) {
        m_placement.exclude(ask.engine);
        co_return Step::kNextEngine;
    }
    wire::RunRequestT request = makeRequest(ask);
    m_run = request.id;
    m_home = *home;
    m_engine = ask.engine;
    m_tokens.startAttempt(m_run);
    m_channel = m_dispatch.peers.open(m_home, std::move(request));
    const Step step = co_await awaitVerdict(ask);
    m_dispatch.peers.forget(m_run);
    co_return step;
}

Task<PlacedCall::Step> PlacedCall::awaitVerdict(const PlacementAsk& ask) {
    const Millis patience = ask.mayQueue ? left() : std::min(left(), m_context.settings.hopTimeout);
    RunMessage message = co_await m_channel->receive(std::max<Millis>(patience, 1));
    const auto* verdict = std::get_if<wire::RunVerdictT>(&message);
    if (verdict == nullptr) {
        // No word from the home: it may be lost, frozen or cut off. A late start there is
        // cancelled, and nothing of it can reach the caller: its id is another attempt's.
        m_dispatch.peers.cancel(m_home, m_run);
        if (std::holds_alternative<WaitOver>(message) && !ask.mayQueue) {
            m_dispatch.peers.suspect(m_home);
        }
        m_placement.exclude(ask.engine);
        co_return broken(false, "no verdict from " + m_home.value);
    }
    switch (verdict->verdict) {
        case wire::Verdict::Full:
            m_placement.full(verdict->load);
            if (ask.mayQueue) {
                m_placement.exclude(ask.engine);  // Its home has changed: queue elsewhere.
            }
            co_return Step::kNextEngine;
        case wire::Verdict::GoTo:
            m_placement.goTo(EngineId(verdict->engine));
            co_return Step::kNextEngine;
        case wire::Verdict::Refused:
            m_refusal = RefusalOf(*verdict);
            if (m_written) {
                m_refusal->outcome = RunOutcome::kUnknown;
            }
            co_await giveUp(*m_refusal);
            co_return Step::kFinished;
        case wire::Verdict::Admitted:
            m_engine = EngineId(verdict->engine);
            co_return co_await relay();
    }
    co_return Step::kNextEngine;
}

Task<PlacedCall::Step> PlacedCall::relay() {
    // The home watches the engine; this wait is longer, and catches a home that went silent.
    const Millis patience = m_context.settings.stallTimeout + m_context.settings.hopTimeout;
    while (true) {
        RunMessage message = co_await m_channel->receive(patience);
        if (const auto* chunk = std::get_if<wire::RunChunkT>(&message)) {
            if (!co_await forward(*chunk)) {
                m_dispatch.peers.cancel(m_home, m_run);
                co_return m_callerGone ? Step::kFinished : broken(false, "tokens out of order");
            }
            continue;
        }
        if (const auto* end = std::get_if<wire::RunEndT>(&message)) {
            co_return co_await streamEnded(*end);
        }
        m_dispatch.peers.cancel(m_home, m_run);
        if (std::holds_alternative<CallerGone>(message)) {
            co_return Step::kFinished;
        }
        co_return broken(false, "lost " + m_home.value);
    }
}

Task<bool> PlacedCall::forward(const wire::RunChunkT& chunk) {
    const TokenStep step = m_tokens.accept(chunk.id, chunk.index);
    if (step == TokenStep::kGap) {
        co_return false;
    }
    if (step != TokenStep::kForward) {
        co_return true;
    }
    const std::string token(chunk.data.begin(), chunk.data.end());
    if (m_result.firstByte < 0) {
        m_result.firstByte = ReadClocks().mono - m_call.arrivedAt;
    }
    if (!m_call.stream) {
        m_text += token;
        co_return true;
    }
    if (!m_call.exchange.started()) {
        const HttpHeaders headers = {{"Onyx-Engine", m_engine.value}, {"Onyx-Home", m_home.value}};
        if (!co_await m_call.exchange.startStream(200, headers, kEventStream)) {
            m_callerGone = true;
            co_return false;
        }
    }
    const json event = {{"id", m_id},
                        {"object", "chat.completion.chunk"},
                        {"model", m_call.service->service.value},
                        {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
    const std::string line = "data: " + Dump(event) + "\n\n";
    if (!co_await m_call.exchange.write(line)) {
        m_callerGone = true;
        co_return false;
    }
    co_return true;
}

Task<PlacedCall::Step> PlacedCall::streamEnded(const wire::RunEndT& end) {
    const bool counted = end.kind == wire::EndKind::Complete && end.completion_tokens > 0;
    if (counted && end.completion_tokens != m_tokens.next()) {
        // It ended properly, and yet tokens are missing by the engine's own count.
        co_return broken(false, "short answer");
    }
    if (end.kind == wire::EndKind::Complete) {
        leaveNote();
        co_await finish(end);
        co_return Step::kFinished;
    }
    if (end.kind == wire::EndKind::Preempted) {
        // Moved off the engine for urgent work: not a failure, so it costs no retry.
        co_return Step::kAnotherAttempt;
    }
    const bool callersFault = end.status >= 400 && end.status < 500;
    if (callersFault) {
        Problem problem = BadRequest(end.status, "body", "the engine refused it: " + end.detail);
        co_await SendProblem(m_call.exchange, problem);
        co_return Step::kFinished;
    }
    m_failed.insert(m_engine);
    co_return broken(end.retry_safe, end.detail);
}

PlacedCall::Step PlacedCall::broken(bool retrySafe, const std::string& why) {
    m_written = m_written || !retrySafe;
    const bool resumed = m_tokens.next() > 0;
    logEvent(resumed ? Event::kStreamResumed : Event::kStreamBroken,
             {{"chat", m_call.chat.value},
              {"engine", m_engine.value},
              {"offset", std::to_string(m_tokens.next())},
              {"why", why}});
    m_failed.insert(m_engine);
    // What was never written to an upstream is a first try still.
    if (retrySafe || m_dispatch.retries.takeRetry()) {
        m_context.metrics.count("onyx_retries_total");
        return Step::kAnotherAttempt;
    }
    m_refusal = Refusal{RefusalReason::kUpstreamFailed, RunOutcome::kUnknown, kComeBackSoon, why};
    m_placement = EntryPlacement({});
    return Step::kNextEngine;
}

void PlacedCall::leaveNote() {
    const EngineId& first = m_placement.firstChoice();
    const EngineConfig* engine = m_call.snapshot->engine(first);
    if (!m_placement.needsNote(m_engine) || engine == nullptr) {
        return;
    }
    const auto home = m_dispatch.table.homeOf(first, engine->zone, ReadClocks().mono);
    if (!home) {
        return;
    }
    wire::ChatNoteT note;
    note.chat = m_call.chat.value;
    note.engine = m_engine.value;
    if (*home == m_context.self) {
        m_dispatch.home.note(note);
        return;
    }
    wire::BodyUnion body;
    body.Set(std::move(note));
    m_dispatch.peers.send(*home, body);
}

Task<> PlacedCall::finish(const wire::RunEndT& end) {
    m_context.metrics.count("onyx_prompt_tokens_total", {}, end.prompt_tokens);
    m_context.metrics.count("onyx_cached_tokens_total", {}, end.cached_tokens);
    if (m_call.stream) {
        co_await finishStream(end);
    } else {
        co_await finishWhole(end);
    }
    m_result.good = m_call.exchange.complete();
}

Task<> PlacedCall::finishWhole(const wire::RunEndT& end) {
    const HttpHeaders headers = {
        {"Onyx-Outcome", "ran"}, {"Onyx-Engine", m_engine.value}, {"Onyx-Home", m_home.value}};
    if (!m_call.service->chat) {
        co_await m_call.exchange.respond(end.status, headers, end.content_type, m_text);
        co_return;
    }
    const json message = {{"role", "assistant"}, {"content", m_text}};
    const json body = {
        {"id", m_id},
        {"object", "chat.completion"},
        {"model", m_call.service->service.value},
        {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
        {"usage", UsageOf(end, m_tokens.next())}};
    co_await m_call.exchange.respond(200, headers, "application/json", Dump(body));
}

Task<> PlacedCall::finishStream(const wire::RunEndT& end) {
    if (!m_call.exchange.started()) {
        const HttpHeaders headers = {{"Onyx-Engine", m_engine.value}, {"Onyx-Home", m_home.value}};
        co_await m_call.exchange.startStream(200, headers, kEventStream);
    }
    const json choice = {{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}};
    const json event = {{"id", m_id},
                        {"object", "chat.completion.chunk"},
                        {"choices", json::array({choice})},
                        {"usage", UsageOf(end, m_tokens.next())},
                        {"onyx", {{"engine", m_engine.value}, {"home", m_home.value}}}};
    co_await m_call.exchange.write("data: " + Dump(event) + "\n\ndata: [DONE]\n\n");
    co_await m_call.exchange.finish();
}

Task<> PlacedCall::giveUp(const Refusal& refusal) {
    const Problem problem = ProblemOf(refusal);
    m_context.metrics.count("onyx_refused_total", {{"type", problem.type}});
    if (!m_call.exchange.started()) {
        co_await SendProblem(m_call.exchange, problem);
        co_return;
    }
    // The stream has begun, so the status is gone: the error is the last event, and there is no
    // end mark.
    const std::string line = "event: error\ndata: " + ProblemJson(problem) + "\n\n";
    co_await m_call.exchange.write(line);
    co_await m_call.exchange.finish();
}

}  // namespace onyx
