#include "modules/standalone/include/router/KeyedCall.h"

#include "include/base/Hash.h"

namespace onyx {

namespace {

Refusal Unknown(const char* detail) {
    return {RefusalReason::kOwnerAway, RunOutcome::kUnknown, KeyOwner::kAwayRetry, detail};
}

}  // namespace

KeyedCall::KeyedCall(RouterContext& context, Dispatch& dispatch, KeyController& keys,
                     CallContext& call)
    : m_context(context), m_dispatch(dispatch), m_keys(keys), m_call(call) {}

Millis KeyedCall::left() const {
    return m_call.deadline - ReadClocks().mono;
}

Task<CallResult> KeyedCall::serve() {
    const MonoTime patience = std::min(m_call.deadline, ReadClocks().mono + kMostMovingWait);
    while (true) {
        const Refusal refusal = co_await askOwner();
        if (m_answered) {
            co_return m_result;
        }
        // A key that moves between boxes has an owner again in a moment, and asking again with
        // the same key is always safe.
        const bool moving = refusal.retryAfter == KeyOwner::kMovingRetry;
        if (!moving || ReadClocks().mono + refusal.retryAfter >= patience) {
            const Problem problem = ProblemOf(refusal);
            m_context.metrics.count("onyx_refused_total", {{"type", problem.type}});
            co_await SendProblem(m_call.exchange, problem);
            co_return m_result;
        }
        co_await SleepFor(refusal.retryAfter);
    }
}

wire::RunRequestT KeyedCall::makeRequest() const {
    wire::RunRequestT request;
    request.id = m_dispatch.peers.nextRunId();
    request.kind = wire::RunKind::Keyed;
    request.service = m_call.service->service.value;
    request.team = m_call.team->team.value;
    request.priority = static_cast<uint8_t>(m_call.priority);
    request.deadline_in_ms = left();
    request.method = std::string(m_call.exchange.request().method_string());
    request.target = m_call.target;
    request.content_type = std::string(m_call.exchange.header("Content-Type"));
    request.key = m_call.key;
    const std::string& body = m_call.exchange.request().body();
    request.body.assign(body.begin(), body.end());
    return request;
}

Task<Refusal> KeyedCall::askOwner() {
    const auto& zones = m_call.service->zones;
    const int home = RendezvousWinner<ZoneId>(m_call.key, zones);
    if (home < 0) {
        co_return Unknown("the service has no home zones");
    }
    const auto owner = m_keys.route(m_call.key, zones[static_cast<size_t>(home)]);
    if (!owner) {
        co_return Unknown("the key's owner cannot be reached");
    }
    wire::RunRequestT request = makeRequest();
    const uint64_t id = request.id;
    const std::shared_ptr<RunChannel> channel = m_dispatch.peers.open(*owner, std::move(request));
    Refusal refusal = co_await awaitAnswer(*channel);
    m_dispatch.peers.forget(id);
    co_return refusal;
}

Task<Refusal> KeyedCall::awaitAnswer(RunChannel& channel) {
    std::string body;
    while (true) {
        RunMessage message = co_await channel.receive(std::max<Millis>(1, left()));
        if (const auto* verdict = std::get_if<wire::RunVerdictT>(&message)) {
            if (verdict->verdict == wire::Verdict::Refused) {
                co_return RefusalOf(*verdict);
            }
        } else if (const auto* chunk = std::get_if<wire::RunChunkT>(&message)) {
            body.append(chunk->data.begin(), chunk->data.end());
        } else if (const auto* end = std::get_if<wire::RunEndT>(&message)) {
            const HttpHeaders headers = {{"Onyx-Outcome", "ran"},
                                         {"Onyx-Replayed", end->replayed ? "yes" : "no"}};
            m_result.firstByte = ReadClocks().mono - m_call.arrivedAt;
            co_await m_call.exchange.respond(end->status, headers, end->content_type, body);
            m_answered = true;
            m_result.good = m_call.exchange.complete() && end->status < 500;
            co_return Refusal{};
        } else {
            co_return Unknown("lost the way to the key's owner");
        }
    }
}

}  // namespace onyx
