#include "include/gateway/StatusServer.h"

#include "include/base/HttpStatus.h"
#include "include/observe/Events.h"

namespace onyx {

namespace {

// Of one listener: the balancer's questions and the operators' need few connections, no bodies.
constexpr size_t kMaxConnections = 64;
constexpr size_t kMaxBody = 1024;  // In bytes.

}  // namespace

StatusServer::StatusServer(const GatewaySettings& settings, const Dialect& dialect,
                           const ConfigurationState& configuration, const Lifecycle& lifecycle,
                           Metrics& metrics, std::shared_ptr<const RequestMemory> memory,
                           std::function<bool()> ready)
    : m_settings(settings),
      m_dialect(dialect),
      m_configuration(configuration),
      m_lifecycle(lifecycle),
      m_metrics(metrics),
      m_memory(std::move(memory)),
      m_ready(std::move(ready)) {}

Result<bool> StatusServer::start(asio::io_context& io) {
    HttpLimits limits;
    limits.body = kMaxBody;
    limits.connections = kMaxConnections;
    BOOST_OUTCOME_TRY(m_readinessServer,
                      HttpServer::Make(io, m_settings.readiness, limits,
                                       [this](HttpExchange& e) { return answerReadiness(e); }));
    BOOST_OUTCOME_TRY(m_metricsServer,
                      HttpServer::Make(io, m_settings.metrics, limits,
                                       [this](HttpExchange& e) { return answerMetrics(e); }));
    return true;
}

Task<> StatusServer::answerReadiness(HttpExchange& exchange) {
    const bool ready = m_ready();
    if (ready != m_loggedReady) {
        m_loggedReady = ready;
        logEvent(Event::kReadiness, {{"ready", ready ? "yes" : "no"}});
    }
    const bool known = exchange.request().target() == m_dialect.readinessTarget();
    const unsigned status = !known  ? HttpStatus::kNotFound
                            : ready ? HttpStatus::kOk
                                    : HttpStatus::kUnavailable;
    const HttpHeaders headers;
    co_await exchange.respond(status, headers, "text/plain", ready ? "ready" : "not ready");
}

Task<> StatusServer::answerMetrics(HttpExchange& exchange) {
    const auto age = m_configuration.age(ReadClocks().mono);
    m_metrics.set("onyx_active_requests", {}, static_cast<double>(m_lifecycle.activeRequests()));
    m_metrics.set("onyx_knowledge_age_ms", {}, static_cast<double>(age.value_or(-1)));
    m_metrics.set("onyx_request_memory_bytes", {}, static_cast<double>(m_memory->held()));
    m_metrics.set("onyx_request_memory_limit_bytes", {}, static_cast<double>(m_memory->capacity()));
    m_metrics.set("onyx_request_memory_evicted", {}, static_cast<double>(m_memory->evictions()));
    m_metrics.set("onyx_request_memory_refused", {}, static_cast<double>(m_memory->refusals()));
    const std::string text = m_metrics.text();
    const HttpHeaders headers;
    co_await exchange.respond(HttpStatus::kOk, headers, "text/plain; version=0.0.4", text);
}

}  // namespace onyx
