// One router process: listens, and connects the filters, the handlers and the controllers.
#pragma once

#include "include/net/HttpServer.h"
#include "modules/standalone/include/admission/TeamLimiter.h"
#include "modules/standalone/include/router/AgentLink.h"
#include "modules/standalone/include/router/KeyController.h"
#include "modules/standalone/include/router/PlacedCall.h"

#include <memory>

namespace onyx {

// Not thread safe: one io_context.
class Router {
public:
    // Listens on the three addresses of the settings (port 0: chosen by the kernel) and starts.
    // Errors: kUnavailable. Preconditions: the io_context outlives the router.
    static Result<std::unique_ptr<Router>> Make(asio::io_context& io, RouterSettings settings);

    // Starts a planned stop: nothing new is taken, homes and keys go to other boxes, running
    // requests finish up to the drain limit; then the io_context is stopped. Preconditions: none.
    void drain();

    // The addresses that it listens on. Preconditions: none.
    Endpoint callers() const { return m_callers->endpoint(); }
    Endpoint peers() const { return m_acceptor.local_endpoint(); }
    Endpoint metrics() const { return m_metricsServer->endpoint(); }

private:
    Router(asio::io_context& io, RouterSettings settings, Tcp::acceptor acceptor);

    Task<> greet(Tcp::socket socket);
    Task<> handleCall(HttpExchange& exchange);
    Task<CallResult> dispatch(CallContext& call);
    Task<> handleMetrics(HttpExchange& exchange);
    Task<> drainTask();
    void onBoxes(const wire::BoxListT& list);
    void countResult(const CallContext& call, const CallResult& result);
    std::string metricsText();

    asio::io_context& m_io;
    RouterContext m_context;
    Tcp::acceptor m_acceptor;
    PeerTable m_table;
    HomeController m_home;
    PeerController m_peers;
    AgentLink m_agent;
    KeyController m_keys;
    RetryBudget m_retries;
    TeamLimiter m_limiter;
    Dispatch m_dispatch;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_metricsServer;
};

}  // namespace onyx
