#include "modules/standalone/include/router/Filters.h"

#include "modules/standalone/include/idempotency/Key.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace onyx {

using nlohmann::json;

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kBearer = "Bearer ";

Problem NotReady(const std::string& type, const std::string& detail, RunOutcome outcome) {
    Problem problem;
    problem.status = 503;
    problem.type = type;
    problem.detail = detail;
    problem.outcome = outcome;
    problem.retryAfter = kComeBackSoon;
    return problem;
}

std::optional<Problem> ReadDeadline(RouterContext& context, CallContext& call) {
    const std::string_view text = call.exchange.header("Onyx-Deadline-Ms");
    Millis wait = context.settings.defaultDeadline;
    if (!text.empty()) {
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), wait);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || wait <= 0) {
            return BadRequest(400, "Onyx-Deadline-Ms", "expected milliseconds above 0");
        }
    }
    call.deadline = call.arrivedAt + wait;
    return std::nullopt;
}

std::optional<Problem> ReadPriority(CallContext& call) {
    const std::string_view text = call.exchange.header("Onyx-Priority");
    call.priority = call.service->defaultPriority;
    if (text.empty()) {
        return std::nullopt;
    }
    const auto priority = ParsePriority(text);
    if (!priority) {
        return BadRequest(400, "Onyx-Priority", "expected urgent, normal or deferrable");
    }
    call.priority = *priority;
    return std::nullopt;
}

std::optional<Problem> ReadChat(CallContext& call) {
    const json body = json::parse(call.exchange.request().body(), nullptr, false);
    if (!body.is_object()) {
        return BadRequest(400, "body", "expected a JSON object");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return BadRequest(400, "model", "expected a string");
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return BadRequest(400, "messages", "expected a list with at least one message");
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return BadRequest(400, "stream", "expected true or false");
    }
    if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned()) {
        return BadRequest(400, "max_tokens", "expected a whole number from 0");
    }
    const ServiceId model(body["model"].get<std::string>());
    call.service = call.snapshot->service(model);
    if (call.service == nullptr || !call.service->chat) {
        return BadRequest(404, "model", "no such model: " + model.value);
    }
    call.stream = body.value("stream", false);
    call.chat = ChatId(call.exchange.header("Onyx-Chat"));
    return std::nullopt;
}

std::optional<Problem> ReadKey(CallContext& call) {
    call.key = std::string(call.exchange.header("Idempotency-Key"));
    const auto minted = KeyMintTime(call.key);
    if (!minted) {
        return BadRequest(400, "Idempotency-Key",
                          "this service needs a key that is a UUID of version 7");
    }
    call.keyMintedAt = *minted;
    return std::nullopt;
}

std::optional<Problem> ReadPlain(CallContext& call, std::string_view target) {
    const std::string_view rest = target.substr(kServicePrefix.size());
    const size_t slash = rest.find('/');
    const ServiceId name(rest.substr(0, slash));
    call.service = call.snapshot->service(name);
    if (call.service == nullptr || call.service->chat) {
        return BadRequest(404, "path", "no such service: " + name.value);
    }
    call.target = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    return call.service->repeatable ? std::nullopt : ReadKey(call);
}

}  // namespace

std::optional<Problem> CheckReady::apply(RouterContext& context, CallContext& call) const {
    call.snapshot = context.config.current();
    if (!call.snapshot) {
        return NotReady("not-ready", "no configuration yet", RunOutcome::kUnknown);
    }
    return std::nullopt;
}

std::optional<Problem> IdentifyTeam::apply(RouterContext&, CallContext& call) const {
    const std::string_view header = call.exchange.header("Authorization");
    if (!header.starts_with(kBearer)) {
        return BadRequest(401, "Authorization", "expected a bearer token");
    }
    call.team = call.snapshot->teamByToken(TokenDigest(header.substr(kBearer.size())));
    if (call.team == nullptr) {
        return BadRequest(401, "Authorization", "no team has this token");
    }
    return std::nullopt;
}

std::optional<Problem> ReadCall::apply(RouterContext& context, CallContext& call) const {
    const std::string_view target = call.exchange.request().target();
    std::optional<Problem> problem;
    if (target == kChatPath) {
        if (call.exchange.request().method_string() != "POST") {
            return BadRequest(405, "method", "expected POST");
        }
        problem = ReadChat(call);
    } else if (target.starts_with(kServicePrefix)) {
        problem = ReadPlain(call, target);
    } else {
        problem = BadRequest(404, "path",
                             "expected " + std::string(kChatPath) + " or " +
                                 std::string(kServicePrefix) + "{service}/...");
    }
    if (!problem) {
        problem = ReadPriority(call);
    }
    return problem ? problem : ReadDeadline(context, call);
}

std::optional<Problem> CheckShare::apply(RouterContext&, CallContext& call) const {
    const bool keyed = !call.key.empty();
    if (!keyed || KeyIsOurs(call.snapshot->steps(), call.key, call.keyMintedAt)) {
        return std::nullopt;
    }
    return ProblemOf({RefusalReason::kMisdirected, RunOutcome::kUnknown, 0,
                      "same key at the other site: " + call.snapshot->otherSite()});
}

std::optional<Problem> RunFilters(std::span<const Filter> chain, RouterContext& context,
                                  CallContext& call) {
    for (const Filter& filter : chain) {
        auto problem =
            std::visit([&](const auto& step) { return step.apply(context, call); }, filter);
        if (problem) {
            return problem;
        }
    }
    return std::nullopt;
}

std::span<const Filter> RequestChain() {
    static const Filter kChain[] = {CheckReady{}, IdentifyTeam{}, ReadCall{}, CheckShare{}};
    return kChain;
}

}  // namespace onyx
