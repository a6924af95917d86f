#include "modules/standalone/include/standin/FakePlatform.h"

#include "include/observe/Events.h"

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace onyx {

using nlohmann::json;

namespace {

constexpr Millis kWatchStep = 20;
// What the operators' object API takes.
constexpr double kWritesPerSecond = 100;
constexpr double kReadsPerSecond = 2000;
constexpr std::string_view kJson = "application/json";

uint64_t QueryNumber(const std::string& query, const std::string& name, uint64_t otherwise) {
    const std::string start = name + "=";
    size_t at = query.find(start);
    if (at == std::string::npos) {
        return otherwise;
    }
    return std::strtoull(query.c_str() + at + start.size(), nullptr, 10);
}

}  // namespace

bool FakePlatform::Rate::take(double perSecond, MonoTime now) {
    left = std::min(perSecond, left + perSecond * static_cast<double>(now - at) / 1000.0);
    at = now;
    if (left < 1.0) {
        return false;
    }
    left -= 1.0;
    return true;
}

void FakePlatform::addBox(Box box) {
    std::erase_if(m_boxes, [&](const Box& other) { return other.name == box.name; });
    m_boxes.push_back(std::move(box));
    relist();
}

void FakePlatform::relist() {
    ++m_listVersion;
}

Task<> FakePlatform::handle(HttpExchange& exchange) {
    const std::string full(exchange.request().target());
    const size_t mark = full.find('?');
    const std::string path = full.substr(0, mark);
    const std::string query = mark == std::string::npos ? "" : full.substr(mark + 1);
    if (path == "/control") {
        co_await handleControl(exchange);
        co_return;
    }
    ++m_calls;
    const bool writes = exchange.request().method() != boost::beast::http::verb::get;
    const MonoTime now = ReadClocks().mono;
    const bool allowed =
        writes ? m_writeRate.take(kWritesPerSecond, now) : m_readRate.take(kReadsPerSecond, now);
    if (m_faults.outage || !allowed) {
        ++m_refused;
        co_await exchange.respond(m_faults.outage ? 503 : 429, {}, kJson, "{}");
        co_return;
    }
    if (path.starts_with("/v1/objects/")) {
        co_await handleObject(exchange, path.substr(11), query);
    } else if (path.starts_with("/v1/watch/")) {
        co_await handleWatch(exchange, path.substr(9), query);
    } else if (path.starts_with("/v1/boxes")) {
        co_await handleBoxes(exchange, path.substr(9), query);
    } else {
        co_await exchange.respond(404, {}, kJson, "{}");
    }
}

Task<> FakePlatform::sendObject(HttpExchange& exchange, const Object& object) {
    const json body = {{"version", object.version}, {"value", object.value}};
    co_await exchange.respond(200, {}, kJson, body.dump());
}

Task<> FakePlatform::handleObject(HttpExchange& exchange, std::string path, std::string query) {
    if (exchange.request().method() == boost::beast::http::verb::put) {
        co_await handlePut(exchange, path, QueryNumber(query, "expect", 0));
        co_return;
    }
    const auto it = m_objects.find(path);
    if (it == m_objects.end()) {
        co_await exchange.respond(404, {}, kJson, "{}");
        co_return;
    }
    const Object object = it->second;
    co_await sendObject(exchange, object);
}

Task<> FakePlatform::handlePut(HttpExchange& exchange, std::string path, uint64_t expect) {
    ++m_writes;
    const json body = json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || !body.contains("value") || !body["value"].is_string()) {
        co_await exchange.respond(400, {}, kJson, R"({"error":"value: expected a string"})");
        co_return;
    }
    Object& object = m_objects[path];
    if (object.version != expect) {
        const json conflict = {{"version", object.version}};
        if (object.version == 0) {
            m_objects.erase(path);
        }
        co_await exchange.respond(409, {}, kJson, conflict.dump());
        co_return;
    }
    object.version = ++m_lastVersion;
    object.value = body["value"].get<std::string>();
    const json done = {{"version", object.version}};
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(200, {}, kJson, done.dump());
}

Task<> FakePlatform::handleWatch(HttpExchange& exchange, std::string path, std::string query) {
    const uint64_t known = QueryNumber(query, "known", 0);
    const auto wait = static_cast<Millis>(QueryNumber(query, "wait_ms", 10000));
    const MonoTime end = ReadClocks().mono + wait;
    while (ReadClocks().mono < end && !m_faults.outage) {
        const auto it = m_objects.find(path);
        if (it != m_objects.end() && it->second.version != known) {
            const Object object = it->second;
            co_await sendObject(exchange, object);
            co_return;
        }
        co_await SleepFor(kWatchStep);
    }
    co_await exchange.respond(m_faults.outage ? 503 : 204, {}, kJson, "");
}

Task<> FakePlatform::handleBoxes(HttpExchange& exchange, std::string rest, std::string query) {
    constexpr std::string_view kLeaving = "/leaving";
    if (rest.ends_with(kLeaving)) {
        const std::string name = rest.substr(1, rest.size() - 1 - kLeaving.size());
        const auto it = std::find_if(m_boxes.begin(), m_boxes.end(),
                                     [&](const Box& box) { return box.name == name; });
        if (it == m_boxes.end()) {
            co_await exchange.respond(404, {}, kJson, "{}");
            co_return;
        }
        it->leaving = true;
        relist();
        co_await exchange.respond(200, {}, kJson, "{}");
        co_return;
    }
    if (QueryNumber(query, "known", 0) == m_listVersion) {
        co_await exchange.respond(204, {}, kJson, "");
        co_return;
    }
    json list = json::array();
    for (const Box& box : m_boxes) {
        list.push_back({{"name", box.name},
                        {"zone", box.zone},
                        {"address", box.address},
                        {"leaving", box.leaving}});
    }
    const json body = {{"version", m_listVersion}, {"boxes", list}};
    co_await exchange.respond(200, {}, kJson, body.dump());
}

Task<> FakePlatform::handleControl(HttpExchange& exchange) {
    const std::string text = exchange.request().body();
    const json body = json::parse(text.empty() ? "{}" : text, nullptr, false);
    if (!body.is_object()) {
        co_await exchange.respond(400, {}, kJson, R"({"error":"expected an object"})");
        co_return;
    }
    m_faults.outage = body.value("outage", m_faults.outage);
    m_faults.loseAnswers = body.value("lose_answers", m_faults.loseAnswers);
    if (body.value("save", false)) {
        m_saved = m_objects;
    }
    if (body.value("restore", false)) {
        m_objects = m_saved;
    }
    if (body.contains("add_box")) {
        const json& box = body["add_box"];
        addBox({box.value("name", ""), box.value("zone", ""), box.value("address", ""), false});
    }
    if (!text.empty()) {
        logEvent(Event::kFaultSet, {{"body", text}});
    }
    const json state = {{"calls", m_calls}, {"writes", m_writes}, {"refused", m_refused}};
    co_await exchange.respond(200, {}, kJson, state.dump());
}

}  // namespace onyx
