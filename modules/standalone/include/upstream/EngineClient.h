// Runs requests on upstreams: chats on engines (HTTP with server-sent events) and calls of plain
// services. What is passed on as whole was whole: own id, right length, end mark seen.
#pragma once

#include "include/net/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace onyx {

// A chat to run.
struct EngineRun {
    Endpoint engine;
    std::string upstreamId;  // This attempt's own id: box, incarnation and sequence.
    std::string body;        // The caller's JSON.
    std::string chat;
    std::string priority;
    uint32_t resumeFrom = 0;
    Millis stallTimeout = 2000;  // Longest silence between tokens.
    Millis headTimeout = 10000;
};

// How it ended.
struct EngineRunEnd {
    bool complete = false;
    bool written = true;   // False: no byte was written, or the engine said that it did not run.
    bool refused = false;  // The connection was refused: the engine is down.
    uint16_t status = 0;   // 200, or the engine's error status.
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0;
    uint32_t completionTokens = 0;  // In all, as the engine counts; 0: it does not say.
    std::string detail;
};

// Lets another task end a run early. Not thread safe: one io_context.
class RunHandle {
public:
    // Ends the run, now or as soon as it has a connection. Preconditions: none.
    void cancel();
    // Whether it was cancelled. Preconditions: none.
    bool cancelled() const { return m_cancelled; }

private:
    friend class EngineClient;
    std::shared_ptr<HttpStream> m_stream;
    bool m_cancelled = false;
};

// Not thread safe: one io_context.
class EngineClient {
public:
    using OnToken = std::function<void(uint32_t index, std::string token)>;

    explicit EngineClient(asio::any_io_executor executor) : m_http(std::move(executor)) {}

    // Runs a chat; `onToken` is called for each token that carries this attempt's id.
    // Preconditions: the handle is fresh and outlives the call.
    Task<EngineRunEnd> run(EngineRun run, std::shared_ptr<RunHandle> handle, OnToken onToken);

private:
    HttpClient m_http;
};

}  // namespace onyx
