// Stand-in for a model engine: continuous batching, a prefix cache in limited memory, priorities,
// cancel, resume and load reports. POST /control sets faults.
#pragma once

#include "include/net/HttpServer.h"

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace onyx {

// Speed and size of the engine.
struct FakeEngineSettings {
    Millis stepBase = 3;            // One step with one request.
    double stepPerRequest = 0.1;    // Added for each further request, in milliseconds.
    int mostInBatch = 16;           // Further requests wait, most urgent first.
    double prefillPerToken = 0.05;  // Milliseconds for a prompt token that is not cached.
    size_t cacheTokens = 20000;     // Memory for prefixes.
};

// What it may be told to do wrong.
struct FakeEngineFaults {
    bool freeze = false;    // Steps stop; connections stay.
    bool leaving = false;   // Says so in its load report.
    bool refuse = false;    // Answers 503 to new requests.
    int breakAfter = -1;    // Breaks streams off after so many tokens...
    int breakCount = 0;     // ...this many times.
    int crossCount = 0;     // So many answers carry another request's id.
    int shortCount = 0;     // So many answers end without the end mark.
    int dropLastCount = 0;  // So many answers lack their last token, end mark and all.
    int repeatCount = 0;    // So many tokens are sent twice.
    int failCount = 0;      // So many requests get status 500.
    double failShare = 0;   // This share of the requests gets status 500.
};

// Not thread safe: one io_context.
class FakeEngine {
public:
    FakeEngine(asio::io_context& context, const FakeEngineSettings& settings);

    // Starts the batch loop. Preconditions: called once.
    void start();

    // Serves one request. Preconditions: called in a coroutine of the context.
    Task<> handle(HttpExchange& exchange);

private:
    struct Run {
        std::string id;
        std::string prompt;
        uint32_t next = 0;
        uint32_t end = 0;
        int priority = 1;
        uint32_t promptTokens = 0;
        uint32_t cachedTokens = 0;
        Millis prefillLeft = 0;
        bool cancelled = false;
        std::deque<uint32_t> ready;  // Token indices to send.
        std::shared_ptr<asio::steady_timer> wake;
    };
    using RunPtr = std::shared_ptr<Run>;

    Task<> batchLoop();
    void step();
    void refill();
    Task<> handleChat(HttpExchange& exchange);
    Task<> stream(HttpExchange& exchange, RunPtr run, bool crossed);
    Task<> handleLoad(HttpExchange& exchange);
    Task<> handleControl(HttpExchange& exchange);
    uint32_t lookUp(const std::string& key, uint32_t tokens);

    asio::io_context& m_context;
    FakeEngineSettings m_settings;
    FakeEngineFaults m_faults;
    std::vector<RunPtr> m_batch;
    std::vector<RunPtr> m_waiting;
    std::list<std::pair<std::string, uint32_t>> m_cache;  // Most recent first.
    size_t m_cacheUsed = 0;
    uint64_t m_served = 0;
    uint64_t m_requests = 0;
    uint64_t m_cancelled = 0;
    uint64_t m_promptTokens = 0;
    uint64_t m_cachedTokens = 0;
};

}  // namespace onyx
