// In which availability zones a request may be handled, by the allowed regions of its route and
// team.
#pragma once

#include "include/routing/Catalog.h"
#include "include/state/GatewaySettings.h"

#include <string>

namespace onyx {

// The allowed regions of a request; both bind. Null or empty: any region.
struct RegionRule {
    const AllowedRegions* route = nullptr;
    const AllowedRegions* team = nullptr;
};

// Whether a request may be handled in `zone`. A zone whose region is not known is in no allowed
// region. Preconditions: none. Thread safety: any thread.
inline bool IsZoneAllowed(const GatewaySettings& settings, const RegionRule& rule,
                          const std::string& zone) {
    const auto isUnbound = [](const AllowedRegions* regions) {
        return regions == nullptr || regions->empty();
    };
    if (isUnbound(rule.route) && isUnbound(rule.team)) {
        return true;
    }
    const auto region = settings.regions.find(zone);
    const std::string name = region == settings.regions.end() ? std::string() : region->second;
    const auto allows = [&](const AllowedRegions* regions) {
        return regions == nullptr || AllowsRegion(*regions, name);
    };
    return allows(rule.route) && allows(rule.team);
}

}  // namespace onyx
