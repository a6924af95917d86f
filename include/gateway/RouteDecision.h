// What a gateway decides about a request before it sends it anywhere: which route, service and team
// it is for, until when it is held, or why it is refused.
#pragma once

#include "include/gateway/GatewayState.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace onyx {

// Why a box answers a request by itself.
struct Refusal {
    unsigned status = 503;
    std::string reason;
    std::optional<Millis> retryAfter;  // When it makes sense.
};

// What a request is for, by one catalog. The route is part of the catalog, so they are replaced
// only together.
struct RouteDecision {
    std::shared_ptr<const Catalog> catalog;
    const Route* route = nullptr;
    ServiceId service;
    const ServiceSpec* spec = nullptr;  // Of the service; null if the catalog does not tell.
    TeamId team;
    int priority = 5;
    bool stale = false;  // The catalog is older than is fresh; see StalenessPolicy.
    MonoTime until;      // The caller's deadline, or the route's timeout if that is earlier.
};

// One request as far as the decision depends on it.
struct RouteQuestion {
    std::string_view host;
    std::string_view target;
    std::string_view key;
    std::optional<Millis> clientTimeout;  // How long the caller waits.
    MonoTime arrived;
    uint64_t servicePoint = 0;  // Where the request falls among a route's weights.
};

// Decides by what the box knows at `now`. A box that knows too little refuses with 503: only one
// that knows may say that a route or key does not exist. Preconditions: none.
// Thread safety: the state's task.
std::variant<RouteDecision, Refusal> DecideRoute(const GatewayState& state,
                                                 const RouteQuestion& question, MonoTime now);

}  // namespace onyx
