#include "modules/standalone/include/standin/LoadRun.h"

#include "modules/standalone/include/standin/AnswerText.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace onyx {

using nlohmann::json;

namespace {

constexpr size_t kMostWrongTexts = 5;
constexpr Millis kKeyPause = 400;
constexpr Millis kPatience = 2000;
constexpr std::string_view kData = "data: ";

// The text of an event stream; `whole` tells whether it came to its end mark.
std::string StreamText(const std::string& body, bool& whole, bool& error, json& usage,
                       std::string& engine) {
    std::string text;
    size_t from = 0;
    for (size_t stop = body.find('\n'); stop != std::string::npos; stop = body.find('\n', from)) {
        const std::string_view line(body.data() + from, stop - from);
        from = stop + 1;
        error = error || line == "event: error";
        if (!line.starts_with(kData)) {
            continue;
        }
        const std::string_view data = line.substr(kData.size());
        if (data == "[DONE]") {
            whole = true;
            continue;
        }
        const json event = json::parse(data, nullptr, false);
        if (!event.is_object() || !event.contains("choices")) {
            continue;
        }
        const json& delta = event["choices"][0].value("delta", json::object());
        text += delta.value("content", "");
        if (event.contains("usage")) {
            usage = event["usage"];
        }
        if (event.contains("onyx")) {
            engine = event["onyx"].value("engine", "");
        }
    }
    return text;
}

Millis Quantile(std::vector<Millis> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<size_t>(q * static_cast<double>(values.size() - 1));
    return values[at];
}

}  // namespace

std::string LoadReport::json(bool withKeys) const {
    nlohmann::json out = {
        {"answered", answered},
        {"wrong", wrong},
        {"refused", refused},
        {"failed", failed},
        {"keys_ran", keysRan},
        {"keys_not_run", keysNotRun},
        {"keys_unknown", keysUnknown},
        {"key_tries", keyTries},
        {"prompt_tokens", promptTokens},
        {"cached_tokens", cachedTokens},
        {"by_engine", byEngine},
        {"by_problem", byProblem},
        {"first_byte_ms", {{"p50", Quantile(firstByte, 0.5)}, {"p95", Quantile(firstByte, 0.95)}}},
        {"wrong_texts", wrongTexts}};
    if (withKeys) {
        out["keys"] = keys;
    }
    return out.dump(2);
}

LoadRun::LoadRun(asio::io_context& io, LoadSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_http(io.get_executor()),
      m_random(m_settings.seed) {
    for (int i = 0; i < m_settings.chats; ++i) {
        const auto team = static_cast<size_t>(i) % m_settings.tokens.size();
        m_chats.push_back({fmt::format("chat-{}-{}", m_settings.seed, i), team});
    }
}

void LoadRun::start() {
    m_end = ReadClocks().mono + m_settings.mostTime;
    m_running = m_settings.workers;
    for (int i = 0; i < m_settings.workers; ++i) {
        Spawn(m_io.get_executor(), worker(i));
    }
}

Task<> LoadRun::worker(int) {
    std::uniform_real_distribution<double> share(0, 1);
    while (m_sent < m_settings.requests && ReadClocks().mono < m_end) {
        ++m_sent;
        const bool keyed =
            !m_settings.keyedService.empty() && share(m_random) < m_settings.keyedShare;
        if (keyed) {
            co_await keyedRequest();
        } else {
            size_t chat = m_random() % m_chats.size();
            while (m_busy.contains(chat) && m_busy.size() < m_chats.size()) {
                chat = (chat + 1) % m_chats.size();
            }
            m_busy.insert(chat);
            co_await chatRequest(chat);
            m_busy.erase(chat);
        }
        if (m_settings.pause > 0) {
            co_await SleepFor(m_settings.pause);
        }
    }
    if (--m_running == 0) {
        m_io.stop();
    }
}

Task<> LoadRun::chatRequest(size_t index) {
    Chat& chat = m_chats[index];
    json messages = json::array();
    for (int turn = 0; turn <= chat.turns; ++turn) {
        messages.push_back(
            {{"role", "user"}, {"content", fmt::format("{} turn {}", chat.id, turn)}});
    }
    const std::string prompt = messages.dump();
    const json body = {{"model", m_settings.model},
                       {"messages", messages},
                       {"stream", true},
                       {"max_tokens", m_settings.maxTokens}};
    HttpOutgoing request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.contentType = "application/json";
    request.headers = {{"Authorization", "Bearer " + m_settings.tokens[chat.team]},
                       {"Onyx-Chat", chat.id},
                       {"Onyx-Deadline-Ms", std::to_string(m_settings.deadline)}};
    std::uniform_real_distribution<double> share(0, 1);
    if (share(m_random) < m_settings.urgentShare) {
        request.headers.emplace_back("Onyx-Priority", "urgent");
    }
    request.body = body.dump();
    const Endpoint to = target();
    const MonoTime start = ReadClocks().mono;
    // A little longer than the deadline: the router must have answered by then.
    const Millis patience = m_settings.deadline + kPatience;
    auto opened = co_await m_http.open(to, std::move(request), patience);
    if (opened.has_error()) {
        ++m_report.failed;
        ++m_report.byProblem[opened.error().text()];
        co_return;
    }
    m_report.firstByte.push_back(ReadClocks().mono - start);
    HttpAnswer answer = opened.value()->head();
    while (true) {
        auto piece = co_await opened.value()->read(patience);
        if (piece.has_error()) {
            ++m_report.failed;
            ++m_report.byProblem[piece.error().text()];
            co_return;
        }
        if (!piece.value()) {
            break;
        }
        answer.body += *piece.value();
    }
    if (answer.status != 200) {
        countProblem(answer);
        co_return;
    }
    judgeChat(answer, prompt);
    // Chats start over after a while, so that prompts stay small.
    chat.turns = (chat.turns + 1) % 12;
}

void LoadRun::judgeChat(const HttpAnswer& answer, const std::string& prompt) {
    bool whole = false;
    bool error = false;
    json usage;
    std::string engine;
    const std::string text = StreamText(answer.body, whole, error, usage, engine);
    if (error) {
        ++m_report.refused;
        ++m_report.byProblem["error event"];
        return;
    }
    const bool right =
        whole && text == AnswerOf(prompt, static_cast<uint32_t>(m_settings.maxTokens));
    if (!right) {
        ++m_report.wrong;
        if (m_report.wrongTexts.size() < kMostWrongTexts) {
            m_report.wrongTexts.push_back((whole ? "whole: " : "not whole: ") + text);
        }
        return;
    }
    ++m_report.answered;
    ++m_report.byEngine[engine];
    m_report.promptTokens += usage.value("prompt_tokens", uint64_t{0});
    m_report.cachedTokens += usage.value("cached_tokens", uint64_t{0});
}

void LoadRun::countProblem(const HttpAnswer& answer) {
    ++m_report.refused;
    const json problem = json::parse(answer.body, nullptr, false);
    const std::string type = problem.is_object() ? problem.value("type", "?") : "?";
    ++m_report.byProblem[std::to_string(answer.status) + " " + type];
}

std::string LoadRun::freshKey() {
    const uint64_t random = m_random();
    const auto ms = static_cast<uint64_t>(ReadClocks().wall.ms);
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", ms >> 16, ms & 0xffff,
                       random & 0xfff, 0x8000 | ((random >> 12) & 0x3fff),
                       m_random() & 0xffffffffffffULL);
}

Task<> LoadRun::keyedRequest() {
    const std::string key = freshKey();
    std::string outcome = "unknown";
    for (int i = 0; i < m_settings.keyTries && outcome == "unknown"; ++i) {
        if (i > 0) {
            co_await SleepFor(kKeyPause);
        }
        ++m_report.keyTries;
        outcome = co_await tryKey(key);
    }
    m_report.keysRan += outcome == "ran" ? 1 : 0;
    m_report.keysNotRun += outcome == "not-run" ? 1 : 0;
    m_report.keysUnknown += outcome == "unknown" ? 1 : 0;
    m_report.keys[key] = outcome;
}

Task<std::string> LoadRun::tryKey(std::string key) {
    HttpOutgoing request;
    request.method = "POST";
    request.target = "/v1/services/" + m_settings.keyedService + "/fee";
    request.contentType = "text/plain";
    request.headers = {{"Authorization", "Bearer " + m_settings.tokens[0]},
                       {"Idempotency-Key", key},
                       {"Onyx-Deadline-Ms", std::to_string(m_settings.deadline)}};
    request.body = "fee for " + key;
    const Endpoint to = target();
    auto answer = co_await m_http.call(to, std::move(request), m_settings.deadline);
    if (answer.has_error()) {
        ++m_report.byProblem["key: " + std::string(ErrorCodeName(answer.error().code))];
        co_return std::string("unknown");
    }
    const std::string outcome(answer.value().header("onyx-outcome"));
    if (answer.value().status != 200) {
        ++m_report.byProblem[fmt::format("key: {} {}", answer.value().status, outcome)];
    }
    co_return outcome.empty() ? std::string("unknown") : outcome;
}

}  // namespace onyx
