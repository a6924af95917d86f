// What all requests of a gateway share. One task at a time touches it.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/freshness/KnowledgeAge.h"
#include "include/gateway/GatewaySettings.h"
#include "include/gateway/UpstreamPool.h"
#include "include/health/UpstreamHealth.h"
#include "include/observe/Metrics.h"
#include "include/placement/CacheDirectory.h"
#include "include/placement/UpstreamLoads.h"
#include "include/routing/Catalog.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace onyx {

// Not thread safe: one io_context.
struct GatewayState {
    GatewayState(asio::io_context& ioContext, const GatewaySettings& gatewaySettings,
                 const Dialect& gatewayDialect)
        : io(ioContext),
          settings(gatewaySettings),
          dialect(gatewayDialect),
          health(gatewaySettings.health),
          pool(ioContext.get_executor()),
          started(ReadClocks().mono),
          retries(gatewaySettings.retry, started) {}

    // What admission depends on, as this box knows it. Preconditions: none.
    AdmissionKnowledge knowledge(MonoTime now) const {
        return {lifecycle.refusing(), catalog, keysKnown.age(now), upstreamsListed};
    }

    // How old what the store told is. Preconditions: none.
    KnownAges ages(MonoTime now) const { return {keysKnown.age(now), upstreamsKnown.age(now)}; }

    // Whether the store answers this box, as far as its last calls tell. Preconditions: none.
    bool storeAnswers() const { return configurationTold && upstreamsTold; }

    asio::io_context& io;
    const GatewaySettings& settings;
    const Dialect& dialect;
    Metrics metrics;
    std::shared_ptr<const Catalog> catalog;  // Null until one is known.
    std::string catalogContent;              // The same as text, for other boxes.
    KnowledgeAge keysKnown;                  // How old the catalog is.
    KnowledgeAge upstreamsKnown;             // How old the list of upstreams is.
    UpstreamTable upstreams;
    bool upstreamsListed = false;
    bool configurationTold = false;  // The store answered the last call for it,
    bool upstreamsTold = false;      // and the last one for upstreams.
    UpstreamHealth health;
    UpstreamLoads loads;
    CacheDirectory caches;
    PeerCounts peerCounts;
    size_t boxesKnown = 1;  // Heard of lately, this one included.
    UpstreamPool pool;
    std::minstd_rand random{std::random_device{}()};
    MonoTime started;
    RetryAllowances retries;
    Lifecycle lifecycle;
    bool servesStale = false;  // The last request was decided on a stale configuration.
};

}  // namespace onyx
