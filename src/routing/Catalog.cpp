#include "include/routing/Catalog.h"

#include <algorithm>
#include <cctype>

namespace onyx {

namespace {

std::string ToLowerCase(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string RouteKey(std::string_view host, std::string_view prefix) {
    std::string key(host);
    key += ' ';
    key += prefix;
    return key;
}

Error RouteError(const Route& route, const char* what) {
    return Error{ErrorCode::kBadInput, "catalog.route", route.name, what};
}

Result<bool> CheckRoute(const Route& route) {
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' ||
        route.pathPrefix.back() != '/') {
        return RouteError(route, "path prefix: expected a slash at both ends");
    }
    if (route.services.empty()) {
        return RouteError(route, "services: expected at least one");
    }
    if (route.timeout <= 0 || route.maxAttempts <= 0) {
        return RouteError(route, "timeout and attempts: expected more than 0");
    }
    return true;
}

}  // namespace

bool AllowsRegion(const AllowedRegions& allowedRegions, std::string_view region) {
    return allowedRegions.empty() ||
           std::find(allowedRegions.begin(), allowedRegions.end(), region) != allowedRegions.end();
}

Result<std::shared_ptr<const Catalog>> Catalog::Make(CatalogParts parts) {
    std::shared_ptr<Catalog> catalog(new Catalog(std::move(parts)));
    for (Route& route : catalog->m_parts.routes) {
        BOOST_OUTCOME_TRY(CheckRoute(route));
        route.host = ToLowerCase(route.host);
        catalog->m_routes.emplace(RouteKey(route.host, route.pathPrefix), &route);
    }
    for (const ServiceSpec& service : catalog->m_parts.services) {
        catalog->m_services.emplace(service.name.value, &service);
    }
    return std::shared_ptr<const Catalog>(std::move(catalog));
}

const Route* Catalog::findRoute(std::string_view host, std::string_view path) const {
    const std::string name = ToLowerCase(host.substr(0, host.find(':')));
    std::string_view prefix = path.substr(0, path.find('?'));
    while (true) {
        const size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto it = m_routes.find(RouteKey(name, prefix.substr(0, slash + 1)));
        if (it != m_routes.end()) {
            return it->second;
        }
        prefix = prefix.substr(0, slash);
    }
}

const Credential* Catalog::findCredential(std::string_view name) const {
    const auto it = m_parts.credentials.find(std::string(name));
    return it == m_parts.credentials.end() ? nullptr : &it->second;
}

const ServiceSpec* Catalog::findService(const ServiceId& service) const {
    const auto it = m_services.find(service.value);
    return it == m_services.end() ? nullptr : it->second;
}

const ServiceId& PickService(const Route& route, uint64_t randomValue) {
    uint64_t sum = 0;
    for (const WeightedService& entry : route.services) {
        sum += entry.weight;
    }
    uint64_t offset = sum == 0 ? 0 : randomValue % sum;
    for (const WeightedService& entry : route.services) {
        if (offset < entry.weight) {
            return entry.service;
        }
        offset -= entry.weight;
    }
    return route.services.front().service;
}

}  // namespace onyx
