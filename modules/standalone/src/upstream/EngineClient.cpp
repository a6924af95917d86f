#include "modules/standalone/include/upstream/EngineClient.h"

#include "include/observe/Events.h"

#include <nlohmann/json.hpp>

namespace onyx {

using nlohmann::json;

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMark = "[DONE]";
constexpr Millis kEndTimeout = 100;  // For the connection's end after the end mark.

// What one server-sent event was.
enum class EventKind { kToken, kFinish, kDone, kForeign, kMalformed };

struct StreamState {
    bool finished = false;
    bool done = false;
};

EventKind ReadEvent(std::string_view data, const EngineRun& run,
                    const EngineClient::OnToken& onToken, EngineRunEnd& end) {
    if (data == kDoneMark) {
        return EventKind::kDone;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() ||
        event["choices"].empty()) {
        return EventKind::kMalformed;
    }
    if (event.value("id", "") != run.upstreamId) {
        return EventKind::kForeign;
    }
    const json& choice = event["choices"][0];
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        if (event.contains("usage")) {
            end.promptTokens = event["usage"].value("prompt_tokens", 0U);
            end.cachedTokens = event["usage"].value("cached_tokens", 0U);
            end.completionTokens = event["usage"].value("completion_tokens", 0U);
        }
        return EventKind::kFinish;
    }
    if (!event.contains("token_index") || !choice.contains("delta")) {
        return EventKind::kMalformed;
    }
    onToken(event["token_index"].get<uint32_t>(), choice["delta"].value("content", ""));
    return EventKind::kToken;
}

// Consumes all whole events in `pending`; false if the answer cannot be trusted any more.
bool ReadEvents(std::string& pending, const EngineRun& run, const EngineClient::OnToken& onToken,
                StreamState& state, EngineRunEnd& end) {
    size_t from = 0;
    for (size_t stop = pending.find("\n\n"); stop != std::string::npos;
         stop = pending.find("\n\n", from)) {
        std::string_view line(pending.data() + from, stop - from);
        from = stop + 2;
        if (!line.starts_with(kDataPrefix)) {
            continue;
        }
        const EventKind kind = ReadEvent(line.substr(kDataPrefix.size()), run, onToken, end);
        if (kind == EventKind::kForeign || kind == EventKind::kMalformed) {
            end.detail =
                kind == EventKind::kForeign ? "answer of another request" : "malformed event";
            return false;
        }
        state.finished = state.finished || kind == EventKind::kFinish;
        state.done = state.done || (kind == EventKind::kDone && state.finished);
    }
    pending.erase(0, from);
    return true;
}

}  // namespace

void RunHandle::cancel() {
    m_cancelled = true;
    if (m_stream) {
        m_stream->cancel();
    }
}

Task<EngineRunEnd> EngineClient::run(EngineRun run, std::shared_ptr<RunHandle> handle,
                                     OnToken onToken) {
    EngineRunEnd end;
    json body = json::parse(run.body, nullptr, false);
    body["stream"] = true;
    body["resume_from"] = run.resumeFrom;
    HttpOutgoing request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.contentType = "application/json";
    request.headers = {
        {"X-Request-Id", run.upstreamId}, {"X-Cache-Key", run.chat}, {"X-Priority", run.priority}};
    request.body = body.dump();
    auto opened = co_await m_http.open(run.engine, std::move(request), run.headTimeout);
    if (opened.has_error()) {
        end.refused = opened.error().code == ErrorCode::kUnavailable;
        end.written = !end.refused;
        end.detail = opened.error().text();
        co_return end;
    }
    handle->m_stream = opened.value();
    if (handle->cancelled()) {
        handle->m_stream->cancel();
        end.detail = "cancelled";
        co_return end;
    }
    const HttpAnswer& head = handle->m_stream->head();
    end.status = static_cast<uint16_t>(head.status);
    if (head.status != 200) {
        end.written = head.header("x-not-run").empty();
        end.detail = "status " + std::to_string(head.status);
        co_return end;
    }
    if (head.header("x-request-id") != run.upstreamId) {
        logEvent(Event::kAnswerCrossed, {{"engine", EndpointText(run.engine)},
                                         {"expected", run.upstreamId},
                                         {"found", std::string(head.header("x-request-id"))}});
        handle->m_stream->cancel();
        end.detail = "answer of another request";
        co_return end;
    }
    StreamState state;
    std::string pending;
    while (true) {
        auto piece = co_await handle->m_stream->read(run.stallTimeout);
        if (piece.has_error()) {
            end.detail = handle->cancelled() ? "cancelled" : piece.error().text();
            break;
        }
        if (!piece.value().has_value()) {
            end.complete = state.done;
            end.detail = state.done ? "" : "answer ended without its end mark";
            break;
        }
        pending += *piece.value();
        if (!ReadEvents(pending, run, onToken, state, end)) {
            break;
        }
        // The end mark makes it whole, whatever becomes of the connection after it.
        if (state.done) {
            end.complete = true;
            static_cast<void>(co_await handle->m_stream->read(kEndTimeout));
            break;
        }
    }
    handle->m_stream->cancel();
    co_return end;
}

}  // namespace onyx
