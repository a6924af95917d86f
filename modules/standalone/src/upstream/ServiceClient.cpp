#include "modules/standalone/include/upstream/ServiceClient.h"

#include "include/observe/Events.h"

namespace onyx {

Task<ServiceAnswer> ServiceClient::call(ServiceCall call) {
    HttpOutgoing request;
    request.method = std::move(call.method);
    request.target = std::move(call.target);
    request.contentType = std::move(call.contentType);
    request.body = std::move(call.body);
    request.headers.emplace_back("X-Request-Id", call.upstreamId);
    if (!call.key.empty()) {
        request.headers.emplace_back("Idempotency-Key", call.key);
    }
    if (call.fence > 0) {
        request.headers.emplace_back("X-Fence", std::to_string(call.fence));
    }
    auto result = co_await m_http.call(call.service, std::move(request), call.timeout);
    ServiceAnswer answer;
    if (result.has_error()) {
        answer.refused = result.error().code == ErrorCode::kUnavailable;
        answer.written = !answer.refused;
        answer.detail = result.error().text();
        co_return answer;
    }
    HttpAnswer& http = result.value();
    const std::string_view id = http.header("x-request-id");
    if (!id.empty() && id != call.upstreamId) {
        logEvent(Event::kAnswerCrossed, {{"engine", EndpointText(call.service)},
                                         {"expected", call.upstreamId},
                                         {"found", std::string(id)}});
        answer.detail = "answer of another request";
        co_return answer;
    }
    answer.written = http.header("x-not-run").empty();
    answer.answered = answer.written;
    answer.status = static_cast<uint16_t>(http.status);
    answer.contentType = http.contentType;
    answer.body = std::move(http.body);
    answer.detail = "status " + std::to_string(http.status);
    co_return answer;
}

}  // namespace onyx
