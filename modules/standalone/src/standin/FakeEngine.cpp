#include "modules/standalone/include/standin/FakeEngine.h"

#include "include/observe/Events.h"
#include "modules/standalone/include/standin/AnswerText.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace onyx {

using nlohmann::json;

namespace {

constexpr std::string_view kJson = "application/json";

uint32_t TokensIn(std::string_view text) {
    return static_cast<uint32_t>(text.size() / 4 + 1);
}

}  // namespace

FakeEngine::FakeEngine(asio::io_context& context, const FakeEngineSettings& settings)
    : m_context(context), m_settings(settings) {}

void FakeEngine::start() {
    Spawn(m_context.get_executor(), batchLoop());
}

Task<> FakeEngine::batchLoop() {
    double owed = 0;  // Time that whole milliseconds could not express.
    while (true) {
        const size_t running = m_batch.size();
        const double further = running > 1 ? static_cast<double>(running - 1) : 0;
        owed += static_cast<double>(m_settings.stepBase) + m_settings.stepPerRequest * further;
        const auto whole = static_cast<Millis>(owed);
        owed -= static_cast<double>(whole);
        co_await SleepFor(whole);
        if (!m_faults.freeze) {
            step();
        }
    }
}

void FakeEngine::refill() {
    std::stable_sort(m_waiting.begin(), m_waiting.end(),
                     [](const RunPtr& a, const RunPtr& b) { return a->priority < b->priority; });
    while (!m_waiting.empty() && m_batch.size() < static_cast<size_t>(m_settings.mostInBatch)) {
        m_batch.push_back(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
    }
}

void FakeEngine::step() {
    refill();
    for (const RunPtr& run : m_batch) {
        if (run->prefillLeft > 0) {
            run->prefillLeft -= m_settings.stepBase;
            continue;
        }
        if (run->next < run->end) {
            run->ready.push_back(run->next++);
        }
        run->wake->cancel();
    }
    std::erase_if(m_batch,
                  [](const RunPtr& run) { return run->cancelled || run->next >= run->end; });
}

uint32_t FakeEngine::lookUp(const std::string& key, uint32_t tokens) {
    const auto it = std::find_if(m_cache.begin(), m_cache.end(),
                                 [&](const auto& entry) { return entry.first == key; });
    uint32_t cached = 0;
    if (it != m_cache.end()) {
        cached = std::min(it->second, tokens);
        m_cacheUsed -= it->second;
        m_cache.erase(it);
    }
    m_cache.emplace_front(key, tokens);
    m_cacheUsed += tokens;
    while (m_cacheUsed > m_settings.cacheTokens && m_cache.size() > 1) {
        m_cacheUsed -= m_cache.back().second;
        m_cache.pop_back();
    }
    return cached;
}

Task<> FakeEngine::handle(HttpExchange& exchange) {
    const std::string_view target = exchange.request().target();
    if (target == "/v1/chat/completions") {
        co_await handleChat(exchange);
    } else if (target == "/v1/load") {
        co_await handleLoad(exchange);
    } else if (target == "/control") {
        co_await handleControl(exchange);
    } else {
        co_await exchange.respond(404, {}, kJson, "{}");
    }
}

Task<> FakeEngine::handleChat(HttpExchange& exchange) {
    ++m_requests;
    const json body = json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || !body.contains("messages")) {
        co_await exchange.respond(400, {}, kJson, R"({"error":"messages: expected a list"})");
        co_return;
    }
    const bool share =
        m_faults.failShare > 0 &&
        std::fmod(static_cast<double>(m_requests) * m_faults.failShare, 1.0) < m_faults.failShare;
    if (m_faults.failCount > 0 || share) {
        m_faults.failCount = std::max(0, m_faults.failCount - 1);
        co_await exchange.respond(500, {}, kJson, R"({"error":"failed"})");
        co_return;
    }
    if (m_faults.refuse) {
        const HttpHeaders notRun = {{"X-Not-Run", "1"}};
        co_await exchange.respond(503, notRun, kJson, R"({"error":"refused"})");
        co_return;
    }
    auto run = std::make_shared<Run>();
    run->id = std::string(exchange.header("X-Request-Id"));
    run->prompt = body["messages"].dump();
    run->next = body.value("resume_from", 0U);
    run->end = body.value("max_tokens", 32U);
    const std::string priority(exchange.header("X-Priority"));
    run->priority = priority == "urgent" ? 0 : priority == "deferrable" ? 2 : 1;
    run->promptTokens = TokensIn(run->prompt);
    run->cachedTokens = lookUp(std::string(exchange.header("X-Cache-Key")), run->promptTokens);
    m_promptTokens += run->promptTokens;
    m_cachedTokens += run->cachedTokens;
    run->prefillLeft =
        static_cast<Millis>(m_settings.prefillPerToken * (run->promptTokens - run->cachedTokens));
    run->wake = std::make_shared<asio::steady_timer>(m_context);
    m_waiting.push_back(run);
    exchange.watchCaller([this, run] {
        run->cancelled = true;
        ++m_cancelled;
        run->wake->cancel();
    });
    const bool crossed = m_faults.crossCount > 0;
    m_faults.crossCount -= crossed ? 1 : 0;
    co_await stream(exchange, run, crossed);
    run->cancelled = true;
    std::erase(m_waiting, run);
    std::erase(m_batch, run);
    ++m_served;
}

Task<> FakeEngine::stream(HttpExchange& exchange, RunPtr run, bool crossed) {
    const std::string id = crossed ? "another-request" : run->id;
    const HttpHeaders headers = {{"X-Request-Id", id}};
    // Before the first suspension: the batch moves run->next on. A resumed run may have no token
    // left to send.
    uint32_t next = run->next;
    bool open = co_await exchange.startStream(200, headers, "text/event-stream");
    uint32_t sent = 0;
    while (open && !run->cancelled && next < run->end) {
        if (run->ready.empty()) {
            boost::system::error_code ec;
            run->wake->expires_after(std::chrono::seconds(3600));
            co_await run->wake->async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (m_faults.breakCount > 0 && m_faults.breakAfter == static_cast<int>(sent)) {
            --m_faults.breakCount;
            exchange.abort();
            co_return;
        }
        const uint32_t index = run->ready.front();
        next = index + 1;
        run->ready.pop_front();
        if (m_faults.dropLastCount > 0 && next == run->end) {
            --m_faults.dropLastCount;
            break;
        }
        const json event = {
            {"id", id},
            {"token_index", index},
            {"choices",
             {{{"index", 0}, {"delta", {{"content", AnswerToken(run->prompt, index)}}}}}}};
        std::string line = "data: " + event.dump() + "\n\n";
        if (m_faults.repeatCount > 0) {
            --m_faults.repeatCount;
            line += line;
        }
        open = co_await exchange.write(line);
        ++sent;
    }
    if (!open || run->cancelled) {
        co_return;
    }
    if (m_faults.shortCount > 0) {
        --m_faults.shortCount;
        co_await exchange.finish();
        co_return;
    }
    const json end = {{"id", id},
                      {"choices", {{{"index", 0}, {"finish_reason", "stop"}}}},
                      {"usage",
                       {{"prompt_tokens", run->promptTokens},
                        {"cached_tokens", run->cachedTokens},
                        {"completion_tokens", run->end}}}};
    co_await exchange.write("data: " + end.dump() + "\n\ndata: [DONE]\n\n");
    co_await exchange.finish();
}

Task<> FakeEngine::handleLoad(HttpExchange& exchange) {
    const json body = {{"in_flight", m_batch.size() + m_waiting.size()},
                       {"leaving", m_faults.leaving},
                       {"age_ms", 0}};
    co_await exchange.respond(200, {}, kJson, body.dump());
}

Task<> FakeEngine::handleControl(HttpExchange& exchange) {
    const std::string text = exchange.request().body();
    const json body = json::parse(text.empty() ? "{}" : text, nullptr, false);
    if (!body.is_object()) {
        co_await exchange.respond(400, {}, kJson, R"({"error":"expected an object"})");
        co_return;
    }
    m_faults.freeze = body.value("freeze", m_faults.freeze);
    m_faults.leaving = body.value("leaving", m_faults.leaving);
    m_faults.refuse = body.value("refuse", m_faults.refuse);
    m_faults.breakAfter = body.value("break_after", m_faults.breakAfter);
    m_faults.breakCount = body.value("break_count", m_faults.breakCount);
    m_faults.crossCount = body.value("cross_count", m_faults.crossCount);
    m_faults.shortCount = body.value("short_count", m_faults.shortCount);
    m_faults.dropLastCount = body.value("drop_last_count", m_faults.dropLastCount);
    m_faults.repeatCount = body.value("repeat_count", m_faults.repeatCount);
    m_faults.failCount = body.value("fail_count", m_faults.failCount);
    m_faults.failShare = body.value("fail_share", m_faults.failShare);
    if (!text.empty()) {
        logEvent(Event::kFaultSet, {{"body", text}});
    }
    const json state = {
        {"requests", m_requests},          {"served", m_served},
        {"cancelled", m_cancelled},        {"in_flight", m_batch.size() + m_waiting.size()},
        {"prompt_tokens", m_promptTokens}, {"cached_tokens", m_cachedTokens}};
    co_await exchange.respond(200, {}, kJson, state.dump());
}

}  // namespace onyx
