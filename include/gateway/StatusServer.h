// Answers the balancer's question whether this box is ready, and the operators' for its metrics.
//
// Owns the two listening sockets and the readiness that was logged last.
#pragma once

#include "include/admission/RequestMemory.h"
#include "include/dialect/Dialect.h"
#include "include/lifecycle/Drain.h"
#include "include/net/HttpServer.h"
#include "include/observe/Metrics.h"
#include "include/state/ConfigurationState.h"
#include "include/state/GatewaySettings.h"

#include <functional>
#include <memory>

namespace onyx {

// Not thread safe: one io_context.
class StatusServer {
public:
    // `ready`: whether the balancer may send callers here; asked anew for each question.
    // Preconditions: all arguments but `ready` outlive the server.
    StatusServer(const GatewaySettings& settings, const Dialect& dialect,
                 const ConfigurationState& configuration, const Lifecycle& lifecycle,
                 Metrics& metrics, std::shared_ptr<const RequestMemory> memory,
                 std::function<bool()> ready);

    // Listens and begins to answer. Errors: kUnavailable if an address cannot be bound.
    // Preconditions: called once; the context outlives the server.
    Result<bool> start(asio::io_context& io);

    // Where it listens. Preconditions: start() succeeded.
    Endpoint readiness() const { return m_readinessServer->endpoint(); }
    Endpoint metrics() const { return m_metricsServer->endpoint(); }

private:
    Task<> answerReadiness(HttpExchange& exchange);
    Task<> answerMetrics(HttpExchange& exchange);

    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    const ConfigurationState& m_configuration;
    const Lifecycle& m_lifecycle;
    Metrics& m_metrics;
    std::shared_ptr<const RequestMemory> m_memory;
    std::function<bool()> m_ready;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    bool m_loggedReady = false;
};

}  // namespace onyx
