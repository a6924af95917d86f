// Module routing: what the operators set and the store lists, as values. It relies on base.
//
// One configuration as the gateway uses it: routes by host and path, the teams' credentials, the
// limits for callers. Immutable once made; a newer configuration is another Catalog.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Result.h"
#include "include/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace onyx {

// The regions that requests may be served in, by name; empty: any.
using AllowedRegions = std::vector<std::string>;

// Whether a request with these allowedRegions may be served in a region. Preconditions: none.
// Thread safety: any thread.
bool AllowsRegion(const AllowedRegions& allowedRegions, std::string_view region);

// A service of a route and its share of the route's requests.
struct WeightedService {
    ServiceId service;
    uint32_t weight = 1;
};

// Where a request goes and what may be done with it.
struct Route {
    std::string name;
    std::string host;        // In lower case, without a port.
    std::string pathPrefix;  // Begins and ends with a slash.
    std::vector<WeightedService> services;
    bool repeatable = false;        // It may run more than once.
    bool stream = false;            // Its answer is a stream of events.
    bool resumable = false;         // A broken stream may go on at another upstream.
    bool open = false;              // It needs no credential.
    Millis timeout = 30000;         // Longest that a request is held.
    Millis objective = 1000;        // The answer (streams: the first event) is wanted within this.
    int priority = 5;               // 0 is the most urgent.
    int maxAttempts = 1;            // Upstreams that one request may be sent to.
    AllowedRegions allowedRegions;  // Its requests stay there.
};

// What is known of a service besides its upstreams.
struct ServiceSpec {
    ServiceId name;
    bool model = false;         // It is a language model with a prompt cache.
    bool fetchesCache = false;  // Its upstreams can fetch cached prompts from each other.
    double coldRequestsPerSecond =
        0;  // Requests that an upstream bears while it is cold; 0: not told.
};

// The team that a credential (an API key, a token) stands for.
struct Credential {
    TeamId team;
    std::optional<int> priority;    // Goes before the route's.
    AllowedRegions allowedRegions;  // Of the team; they bind besides the route's.
};

// Bounds on what callers may send, and how long they may take.
struct CallerLimits {
    size_t headerBytes = size_t{16} * 1024;
    size_t bodyBytes = size_t{4} * 1024 * 1024;
    Millis headerTimeout = 3000;
    Millis idleTimeout = 15000;
};

// The parts that a Catalog is made from.
struct CatalogParts {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    std::unordered_map<std::string, Credential> credentials;
    bool hasTeams = false;  // Requests need a credential, but for open routes.
    CallerLimits limits;
};

// Thread safety: const methods from any thread.
class Catalog {
public:
    // Errors: kBadInput naming the route and the field. Preconditions: none.
    static Result<std::shared_ptr<const Catalog>> Make(CatalogParts parts);

    // The route with the longest prefix of `path` among those of `host` (a port is passed over),
    // or nullptr. Preconditions: none.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // What a credential stands for, or nullptr. Preconditions: none.
    const Credential* findCredential(std::string_view name) const;

    // What is known of a service, or nullptr. Preconditions: none.
    const ServiceSpec* findService(const ServiceId& service) const;

    // Number of the configuration. Preconditions: none.
    uint64_t version() const { return m_parts.version; }
    // Whether requests need a credential. Preconditions: none.
    bool hasTeams() const { return m_parts.hasTeams; }
    const CallerLimits& limits() const { return m_parts.limits; }
    size_t routeCount() const { return m_parts.routes.size(); }

private:
    explicit Catalog(CatalogParts parts) : m_parts(std::move(parts)) {}

    CatalogParts m_parts;
    std::unordered_map<std::string, const Route*> m_routes;  // By host and prefix.
    std::unordered_map<std::string, const ServiceSpec*> m_services;
};

// Picks one of the route's services by weight. `draw` is a random number.
// Preconditions: the route has a service. Thread safety: any thread.
const ServiceId& PickService(const Route& route, uint64_t draw);

}  // namespace onyx
