#include "include/rollout/VersionHistory.h"

#include <algorithm>

namespace onyx {

void VersionHistory::update(const UpstreamTable& table, std::optional<Millis> age, MonoTime now) {
    const MonoTime before = m_now;
    m_now = now;
    m_age = age;
    if (!age || *age > kMaxGapMs) {
        m_completeSince.reset();
    } else if (!m_completeSince) {
        m_completeSince = now - *age;
    }
    for (const auto& [service, versions] : table.versions()) {
        for (const auto& [version, count] : versions) {
            Listed& listed =
                m_services[service].try_emplace(version, Listed{now, now}).first->second;
            if (listed.last < before) {
                listed.first = now;
            }
            listed.last = now;
        }
    }
    for (auto& [service, versions] : m_services) {
        std::erase_if(versions, [&](const auto& version) {
            return now - version.second.last >= kRetentionMs;
        });
    }
    std::erase_if(m_services, [](const auto& service) { return service.second.empty(); });
}

const VersionHistory::Versions* VersionHistory::versionsOf(const ServiceId& service) const {
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

std::optional<OnlyVersionProof> VersionHistory::onlyVersion(const ServiceId& service,
                                                            Millis span) const {
    const Versions* versions = versionsOf(service);
    if (versions == nullptr || !m_completeSince || !m_age) {
        return std::nullopt;
    }
    const MonoTime asOf = m_now - *m_age;
    const Millis covered = asOf - *m_completeSince;
    if (covered < span || hadSeveral(service, span)) {
        return std::nullopt;
    }
    const auto latest = std::max_element(
        versions->begin(), versions->end(),
        [](const auto& a, const auto& b) { return a.second.last < b.second.last; });
    if (latest->first.empty() || latest->second.last < asOf - span) {
        return std::nullopt;
    }
    return OnlyVersionProof{latest->first, span, *m_age};
}

bool VersionHistory::hadSeveral(const ServiceId& service, Millis span) const {
    const Versions* versions = versionsOf(service);
    if (versions == nullptr) {
        return false;
    }
    const MonoTime from = m_now - m_age.value_or(0) - span;
    return std::count_if(versions->begin(), versions->end(),
                         [&](const auto& version) { return version.second.last >= from; }) > 1;
}

std::set<std::string> VersionHistory::heldBack(const ServiceId& service) const {
    std::set<std::string> held;
    const Versions* versions = versionsOf(service);
    if (versions == nullptr) {
        return held;
    }
    const bool hasOlder = std::any_of(versions->begin(), versions->end(), [&](const auto& version) {
        return version.second.last == m_now && !version.second.isNew(m_now);
    });
    for (const auto& [name, listed] : *versions) {
        if (hasOlder && listed.isNew(m_now)) {
            held.insert(name);
        }
    }
    return held;
}

bool VersionHistory::isNew(const ServiceId& service, const std::string& version) const {
    const Versions* versions = versionsOf(service);
    if (versions == nullptr) {
        return true;
    }
    const auto listed = versions->find(version);
    return listed == versions->end() || listed->second.isNew(m_now);
}

std::optional<std::string> ProvedVersion(const std::vector<OnlyVersionProof>& proofs, Millis span) {
    std::optional<std::string> proved;
    for (const OnlyVersionProof& proof : proofs) {
        if (proof.span < span || proof.age > VersionHistory::kHoldMs) {
            continue;
        }
        if (proved && *proved != proof.version) {
            return std::nullopt;
        }
        proved = proof.version;
    }
    return proved;
}

}  // namespace onyx
