#include "include/gateway/RouteDecision.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace onyx {

using boost::beast::http::status;

namespace {

constexpr Millis kRetryAfterLater = 500;

Refusal NotKnown(std::string reason) {
    return {static_cast<unsigned>(status::service_unavailable), std::move(reason),
            kRetryAfterLater};
}

Refusal NotAllowed(status answer, std::string reason) {
    return {static_cast<unsigned>(answer), std::move(reason), std::nullopt};
}

}  // namespace

std::variant<RouteDecision, Refusal> DecideRoute(const GatewayState& state,
                                                 const RouteQuestion& question, MonoTime now) {
    if (state.refusing) {
        return Refusal{static_cast<unsigned>(status::service_unavailable), "this box is leaving",
                       0};
    }
    if (!state.catalog || !state.upstreamsListed) {
        return NotKnown("no configuration yet");
    }
    RouteDecision decision;
    decision.catalog = state.catalog;
    decision.route = decision.catalog->findRoute(question.host, question.target);
    const Route* route = decision.route;
    const Staleness staleness = state.staleness(now);
    if (staleness == Staleness::kUnusable && (route == nullptr || !route->open)) {
        return NotKnown("what is known of keys and routes is too old");
    }
    decision.stale = staleness != Staleness::kFresh;
    if (route == nullptr) {
        return decision.stale ? NotKnown("no route in a stale configuration")
                              : NotAllowed(status::not_found, "no route");
    }
    decision.priority = route->priority;
    if (decision.catalog->hasTeams() && !route->open) {
        const TeamKey* key = decision.catalog->findKey(question.key);
        if (key == nullptr) {
            return decision.stale ? NotKnown("unknown key in a stale configuration")
                                  : NotAllowed(status::unauthorized, "unknown key");
        }
        decision.team = key->team;
        decision.priority = key->priority.value_or(decision.priority);
    }
    decision.service = PickService(*route, question.servicePoint);
    decision.spec = decision.catalog->findService(decision.service);
    const Millis clientTimeout = question.clientTimeout.value_or(route->timeout);
    decision.until = question.arrived + std::min(clientTimeout, route->timeout);
    return decision;
}

}  // namespace onyx
