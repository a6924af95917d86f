// Module routing: the configuration set by the operators and the upstreams listed by the store, as
// values. Depends on base only.
//
// One configuration as the gateway uses it: routes by host and path, the credentials of the teams,
// the limits for callers. Immutable; a newer configuration is another Catalog.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Result.h"
#include "include/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace onyx {

// Names of the regions in which requests may be served; empty: any region.
using AllowedRegions = std::vector<std::string>;

// Returns whether a request with these allowed regions may be served in `region`.
// Preconditions: none. Thread safety: any thread.
bool AllowsRegion(const AllowedRegions& allowedRegions, std::string_view region);

// A service of a route. Its share of the route's requests is its weight divided by the sum of the
// weights.
struct WeightedService {
    ServiceId service;
    uint32_t weight = 1;
};

// The services that a request may be sent to, and how it may be handled.
struct Route {
    std::string name;
    std::string host;        // Lower case, without a port.
    std::string pathPrefix;  // Begins and ends with a slash.
    std::vector<WeightedService> services;
    bool repeatable = false;  // A request may run more than once.
    bool stream = false;      // The answer is a stream of events.
    bool resumable = false;   // Another upstream may continue a broken stream.
    bool open = false;        // Requests need no credential.
    Millis timeout = 30000;   // Longest time for a request, in ms.
    Millis objective = 1000;  // Target time to the answer (streams: to the first event), in ms.
    int priority = 5;         // 0 is the most urgent.
    int maxAttempts = 1;      // Bound on upstreams that one request is sent to.
    AllowedRegions allowedRegions;  // Requests are served only there.
};

// The properties of a service, apart from its upstreams.
struct ServiceSpec {
    ServiceId name;
    bool model = false;         // It is a language model with a prompt cache.
    bool fetchesCache = false;  // Its upstreams can fetch cached prompts from each other.
    double coldRequestsPerSecond =
        0;  // Capacity of a cold upstream, requests per second; 0: not set.
};

// The team that a credential (an API key or a token) belongs to.
struct Credential {
    TeamId team;
    std::optional<int> priority;    // Overrides the route's priority.
    AllowedRegions allowedRegions;  // Of the team; apply in addition to the route's.
};

// Limits on the size of what callers send, in bytes, and on the time they take, in milliseconds.
struct CallerLimits {
    size_t headerBytes = size_t{16} * 1024;
    size_t bodyBytes = size_t{4} * 1024 * 1024;
    Millis headerTimeout = 3000;
    Millis idleTimeout = 15000;
};

// The parts of a Catalog.
struct CatalogParts {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::unordered_map<std::string, Credential> credentials;
    bool hasTeams = false;  // Requests need a credential, except on open routes.
    CallerLimits limits;
};

// Thread safety: any thread; all methods are const.
class Catalog {
public:
    // Checks `parts` and makes a catalog of them. Errors: kBadInput; names the route and the field.
    // Preconditions: none.
    static Result<std::shared_ptr<const Catalog>> Make(CatalogParts parts);

    // Returns the route of `host` with the longest prefix of `path`, or nullptr if none matches. A
    // port in `host` and a query in `path` are ignored. Preconditions: none.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the credential `name`, or nullptr if there is none. Preconditions: none.
    const Credential* findCredential(std::string_view name) const;

    // Returns the properties of a service, or nullptr if there are none. Preconditions: none.
    const ServiceSpec* findService(const ServiceId& service) const;

    // Returns the version number of the configuration. Preconditions: none.
    uint64_t version() const { return m_parts.version; }
    // Returns whether requests need a credential, except on open routes. Preconditions: none.
    bool hasTeams() const { return m_parts.hasTeams; }
    const CallerLimits& limits() const { return m_parts.limits; }
    // Returns all routes. Preconditions: none.
    const std::vector<Route>& routes() const { return m_parts.routes; }
    size_t routeCount() const { return m_parts.routes.size(); }
    // Returns the properties of all services. Preconditions: none.
    std::span<const ServiceSpec> services() const { return m_parts.services; }

private:
    explicit Catalog(CatalogParts parts) : m_parts(std::move(parts)) {}

    CatalogParts m_parts;
    std::unordered_map<std::string, const Route*> m_routes;  // By host and prefix.
    std::unordered_map<std::string, const ServiceSpec*> m_services;
};

// Returns one of the route's services, each in proportion to its weight. `randomValue`: a random
// number.
// Preconditions: the route has a service. Thread safety: any thread.
const ServiceId& PickService(const Route& route, uint64_t randomValue);

}  // namespace onyx
