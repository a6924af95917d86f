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
    static constexpr size_t kPartsRemembered = 4096;
    static constexpr Millis kPartAge = 60000;
    // After this long an upstream holds what recent prompts share.
    static constexpr Millis kSettled = 12000;

    GatewayState(asio::io_context& ioContext, const GatewaySettings& gatewaySettings,
                 const Dialect& gatewayDialect)
        : io(ioContext),
          settings(gatewaySettings),
          dialect(gatewayDialect),
          health(gatewaySettings.health),
          pool(ioContext.get_executor()),
          started(ReadClocks().mono) {}

    // The repeats that this box may send to a service. Preconditions: none.
    RetryAllowance& allowance(const ServiceId& service) {
        return allowances.try_emplace(service, settings.retry, started).first->second;
    }

    // Takes one repeat of a request for `service` out of this box's part of the retry budget; false
    // if there is none. Preconditions: times do not fall.
    bool takeRepeat(const ServiceId& service, MonoTime now) {
        return allowance(service).takeRepeat(now, std::max(settings.leastBoxes, boxesKnown));
    }

    // What the configuration may be used for. Preconditions: none.
    Staleness staleness(MonoTime now) const {
        return JudgeStaleness(settings.staleness, settings.keyKnowledge, keysKnown.age(now));
    }

    // Whether a key may be let through on what is known now. Preconditions: none.
    bool knowsKeys(MonoTime now) const { return staleness(now) != Staleness::kUnusable; }

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
    CacheDirectory caches{kPartsRemembered, kPartAge};
    PeerCounts peerCounts;
    size_t boxesKnown = 1;  // Heard of lately, this one included.
    UpstreamPool pool;
    std::map<ServiceId, RetryAllowance> allowances;
    std::minstd_rand random{std::random_device{}()};
    MonoTime started;
    bool leaving = false;      // A stop signal came.
    bool servesStale = false;  // The last request was decided on a stale configuration.
    bool refusing = false;     // New requests are refused, since this box is about to end.
    size_t activeRequests = 0;
};

}  // namespace onyx
