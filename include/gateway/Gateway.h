// The deployed process of a box: takes callers' requests and relays them to upstreams, by what the
// object store says.
#pragma once

#include "include/gateway/GatewayState.h"
#include "include/gateway/KnowledgeExchange.h"
#include "include/gateway/PeerMesh.h"
#include "include/net/HttpServer.h"
#include "include/store/StoreWatch.h"

#include <functional>
#include <memory>
#include <set>

namespace onyx {

class CallerConnection;

// Not thread safe: one io_context.
class Gateway {
public:
    // Listens on the addresses of the settings and begins to follow the store.
    // Errors: kUnavailable if an address cannot be bound.
    // Preconditions: all arguments outlive the gateway.
    static Result<std::unique_ptr<Gateway>> Make(asio::io_context& io,
                                                 const GatewaySettings& settings,
                                                 const Dialect& dialect);

    // Begins a planned stop: not ready from now on, requests under way are answered, and `done`
    // is called when the process may end. Preconditions: called once.
    void drain(std::function<void()> done);

    // Where it listens; the kernel's choice where the settings ask for port 0. Preconditions: none.
    Endpoint callers() const { return m_acceptor.local_endpoint(); }
    Endpoint readiness() const { return m_readiness->endpoint(); }
    Endpoint metrics() const { return m_metrics->endpoint(); }
    Endpoint peers() const { return m_peers.endpoint(); }

    // Boxes heard of lately, this one included. Preconditions: none.
    size_t boxesKnown() const { return m_state.boxesKnown; }
    // Links to other boxes that stand. Preconditions: none.
    size_t links() const { return m_peers.links(); }

    // Whether it follows another box in place of watching the store. Preconditions: none.
    bool following() const { return m_knowledge.following(); }

    // Whether the balancer may send callers here. Preconditions: none.
    bool ready() const;

private:
    Gateway(asio::io_context& io, const GatewaySettings& settings, const Dialect& dialect);
    Result<bool> listen();
    void followStore();
    void onConfiguration(const StoreNews& news);
    void onUpstreams(const StoreNews& news);
    void takeConfiguration(const nlohmann::json& content);
    void onPeerNews(const PeerNews& news);
    UpstreamChanges readUpstreams(const StoreNews& news);
    void applyUpstreams(const UpstreamChanges& changes, std::string_view source);
    void takeUpstream(const Upstream& upstream, uint64_t revision, std::string_view source);
    void forgetUpstream(const std::string& id, uint64_t revision, std::string_view source);
    bool knowsEnough() const;
    StorePacingFacts pacingFacts() const;
    Millis watchWait(ObjectKind kind) const;
    StoreWatch& watchOf(ObjectKind kind);
    void onFollowing(bool following);
    void onReachable(ObjectKind kind, const std::string& why);
    void logUpstream(const Upstream& upstream, std::string_view source) const;
    Task<> serveCaller(std::shared_ptr<CallerConnection> caller);
    Task<> answerBad(CallerConnection& caller, const struct ReadRequest& request);
    Task<> answerReadiness(HttpExchange& exchange);
    Task<> answerMetrics(HttpExchange& exchange);
    Task<> runDrain(std::function<void()> done);
    Task<> trimConnections();

    GatewayState m_state;
    Tcp::acceptor m_acceptor;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
    PeerMesh m_peers;
    KnowledgeExchange m_knowledge;
    std::unique_ptr<StoreWatch> m_configurationWatch;
    std::unique_ptr<StoreWatch> m_upstreamWatch;
    std::set<std::shared_ptr<CallerConnection>> m_resting;  // Wait for a request.
    bool m_toldReady = false;
};

}  // namespace onyx
