#include "modules/standalone/include/store/ObjectClient.h"

#include <nlohmann/json.hpp>

namespace onyx {

using nlohmann::json;

namespace {

Result<PlatformObject> ParseObject(const HttpAnswer& answer, const std::string& peer) {
    const json document = json::parse(answer.body, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document.contains("value")) {
        return Error{ErrorCode::kProtocol, "platform.get", peer, "not an object"};
    }
    return PlatformObject{document["version"].get<uint64_t>(),
                          document["value"].get<std::string>()};
}

}  // namespace

Task<Result<HttpAnswer>> ObjectClient::call(std::string method, std::string target,
                                            std::string body, Millis timeout) {
    HttpOutgoing request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.contentType = "application/json";
    const std::string step = "platform " + request.method + " " + request.target;
    auto answer = co_await m_http.call(m_platform, std::move(request), timeout);
    if (answer.has_error()) {
        Error error = std::move(answer).error();
        error.step = step;
        co_return error;
    }
    const unsigned status = answer.value().status;
    if (status == 409) {
        co_return Error{ErrorCode::kConflict, step, EndpointText(m_platform), answer.value().body};
    }
    if (status == 429 || status == 503) {
        co_return Error{ErrorCode::kUnavailable, step, EndpointText(m_platform),
                        "status " + std::to_string(status)};
    }
    if (status >= 400 && status != 404) {
        co_return Error{ErrorCode::kProtocol, step, EndpointText(m_platform),
                        "status " + std::to_string(status)};
    }
    co_return answer;
}

Task<Result<PlatformObject>> ObjectClient::get(std::string path) {
    auto answer = co_await call("GET", "/v1/objects" + path, "", kCallTimeout);
    if (answer.has_error()) {
        co_return std::move(answer).error();
    }
    if (answer.value().status == 404) {
        co_return PlatformObject{};
    }
    co_return ParseObject(answer.value(), EndpointText(m_platform));
}

Task<Result<uint64_t>> ObjectClient::put(std::string path, uint64_t expect, std::string value) {
    const json body = {{"value", std::move(value)}};
    const std::string target = "/v1/objects" + path + "?expect=" + std::to_string(expect);
    auto answer = co_await call("PUT", target, body.dump(), kCallTimeout);
    if (answer.has_error()) {
        co_return std::move(answer).error();
    }
    const json document = json::parse(answer.value().body, nullptr, false);
    if (!document.is_object() || !document.contains("version")) {
        co_return Error{ErrorCode::kUnknown, "platform.put", EndpointText(m_platform),
                        "no version in the answer"};
    }
    co_return document["version"].get<uint64_t>();
}

Task<Result<std::optional<PlatformObject>>> ObjectClient::watch(std::string path, uint64_t known,
                                                                Millis wait) {
    const std::string target =
        "/v1/watch" + path + "?known=" + std::to_string(known) + "&wait_ms=" + std::to_string(wait);
    auto answer = co_await call("GET", target, "", wait + kCallTimeout);
    if (answer.has_error()) {
        co_return std::move(answer).error();
    }
    if (answer.value().status == 204) {
        co_return std::optional<PlatformObject>();
    }
    auto object = ParseObject(answer.value(), EndpointText(m_platform));
    if (object.has_error()) {
        co_return std::move(object).error();
    }
    co_return std::optional<PlatformObject>(std::move(object).value());
}

Task<Result<std::vector<PlatformBox>>> ObjectClient::boxes() {
    uint64_t version = 0;
    auto list = co_await boxesSince(version);
    if (list.has_error()) {
        co_return std::move(list).error();
    }
    co_return std::move(list).value().value_or(std::vector<PlatformBox>());
}

Task<Result<std::optional<std::vector<PlatformBox>>>> ObjectClient::boxesSince(uint64_t& version) {
    const std::string target = "/v1/boxes?known=" + std::to_string(version);
    auto answer = co_await call("GET", target, "", kCallTimeout);
    if (answer.has_error()) {
        co_return std::move(answer).error();
    }
    if (answer.value().status == 204) {
        co_return std::optional<std::vector<PlatformBox>>();
    }
    const json document = json::parse(answer.value().body, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document.contains("boxes")) {
        co_return Error{ErrorCode::kProtocol, "platform.boxes", EndpointText(m_platform),
                        "not a list with its version"};
    }
    std::vector<PlatformBox> boxes;
    for (const json& item : document["boxes"]) {
        boxes.push_back({item.value("name", ""), item.value("zone", ""), item.value("address", ""),
                         item.value("leaving", false)});
    }
    version = document["version"].get<uint64_t>();
    co_return std::optional<std::vector<PlatformBox>>(std::move(boxes));
}

Task<Result<bool>> ObjectClient::setLeaving(std::string box) {
    auto answer = co_await call("POST", "/v1/boxes/" + box + "/leaving", "", kCallTimeout);
    if (answer.has_error()) {
        co_return std::move(answer).error();
    }
    if (answer.value().status == 404) {
        co_return Error{ErrorCode::kNotFound, "platform.leave", EndpointText(m_platform), box};
    }
    co_return true;
}

}  // namespace onyx
