#include "include/rollout/VersionCensus.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// The version in service: the one whose upstreams started first.
const std::string& VersionInService(const VersionCensus::Versions& versions) {
    const auto earlier = [](const auto& a, const auto& b) {
        return std::pair(a.second.seen, a.second.earliestStart) <
               std::pair(b.second.seen, b.second.earliestStart);
    };
    return std::min_element(versions.begin(), versions.end(), earlier)->first;
}

void Count(const Upstream& upstream, VersionCensus::Version& version) {
    if (!upstream.draining) {
        version.ready.push_back(upstream.id);
    }
    const bool isEarlier = version.earliestStart == 0 || upstream.startedMs < version.earliestStart;
    if (upstream.startedMs != 0 && isEarlier) {
        version.earliestStart = upstream.startedMs;
    }
}

}  // namespace

void VersionCensus::update(const UpstreamTable& table, MonoTime now) {
    const std::map<ServiceId, Versions> before = std::exchange(m_services, {});
    for (const auto& [id, entry] : table.all()) {
        Versions& versions = m_services[entry.upstream.service];
        const auto [it, isNew] = versions.try_emplace(entry.upstream.version);
        if (isNew) {
            const auto service = before.find(entry.upstream.service);
            const bool known =
                service != before.end() && service->second.contains(entry.upstream.version);
            it->second.seen = known ? service->second.at(entry.upstream.version).seen : now;
        }
        Count(entry.upstream, it->second);
    }
}

const VersionCensus::Versions* VersionCensus::versionsOf(const ServiceId& service) const {
    const auto it = m_services.find(service);
    return it == m_services.end() || it->second.size() < 2 ? nullptr : &it->second;
}

std::set<std::string> VersionCensus::heldBack(const ServiceId& service,
                                              std::optional<Millis> ordersAge, MonoTime now) const {
    std::set<std::string> held;
    const Versions* versions = versionsOf(service);
    if (versions == nullptr) {
        return held;
    }
    const std::string& inService = VersionInService(*versions);
    for (const auto& [name, version] : *versions) {
        const bool ordersAreOlder = !ordersAge || now - *ordersAge < version.seen;
        if (name != inService && ordersAreOlder && now - version.seen < kMaxHoldMs) {
            held.insert(name);
        }
    }
    return held;
}

}  // namespace onyx
