#include "modules/standalone/include/standin/FakeService.h"

#include "include/observe/Events.h"

#include <nlohmann/json.hpp>

namespace onyx {

using nlohmann::json;

namespace {

constexpr std::string_view kJson = "application/json";

}  // namespace

Task<> FakeService::handle(HttpExchange& exchange) {
    if (exchange.request().target() == "/control") {
        co_await handleControl(exchange);
        co_return;
    }
    if (exchange.request().target() == "/v1/load") {
        co_await exchange.respond(404, {}, kJson, "{}");  // Plain services report no load.
        co_return;
    }
    const std::string key(exchange.header("Idempotency-Key"));
    if (m_faults.failCount > 0) {
        --m_faults.failCount;
        co_await exchange.respond(500, {}, kJson, R"({"error":"failed"})");
        co_return;
    }
    ++m_total;
    const int count = ++m_executions[key];
    if (m_faults.delay > 0) {
        co_await SleepFor(m_faults.delay);
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        exchange.abort();
        co_return;
    }
    const json body = {{"done", exchange.request().body()}, {"count", count}};
    const HttpHeaders headers = {{"X-Request-Id", std::string(exchange.header("X-Request-Id"))}};
    co_await exchange.respond(200, headers, kJson, body.dump());
}

Task<> FakeService::handleControl(HttpExchange& exchange) {
    const std::string text = exchange.request().body();
    const json body = json::parse(text.empty() ? "{}" : text, nullptr, false);
    if (!body.is_object()) {
        co_await exchange.respond(400, {}, kJson, R"({"error":"expected an object"})");
        co_return;
    }
    m_faults.delay = body.value("delay_ms", m_faults.delay);
    m_faults.loseAnswers = body.value("lose_answers", m_faults.loseAnswers);
    m_faults.failCount = body.value("fail_count", m_faults.failCount);
    if (!text.empty()) {
        logEvent(Event::kFaultSet, {{"body", text}});
    }
    const json state = {{"total", m_total}, {"executions", m_executions}};
    co_await exchange.respond(200, {}, kJson, state.dump());
}

}  // namespace onyx
