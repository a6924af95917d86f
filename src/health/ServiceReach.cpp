#include "include/health/ServiceReach.h"

#include <algorithm>

namespace onyx {

bool ServiceReach::noteUnreached(const ServiceId& service, const std::string& upstream,
                                 size_t upstreams, MonoTime now) {
    Record& record = m_records[service];
    if (record.lost) {
        return false;
    }
    record.unreached[upstream] = now;
    std::erase_if(record.unreached,
                  [&](const auto& failure) { return now - failure.second > kRetention; });
    record.lost = record.unreached.size() >= std::min(kMinUnreached, upstreams);
    return record.lost;
}

bool ServiceReach::noteConnected(const ServiceId& service) {
    const auto it = m_records.find(service);
    if (it == m_records.end()) {
        return false;
    }
    const bool wasLost = it->second.lost;
    m_records.erase(it);
    return wasLost;
}

bool ServiceReach::isLost(const ServiceId& service) const {
    const auto it = m_records.find(service);
    return it != m_records.end() && it->second.lost;
}

std::vector<ServiceId> ServiceReach::lost() const {
    std::vector<ServiceId> services;
    for (const auto& [service, record] : m_records) {
        if (record.lost) {
            services.push_back(service);
        }
    }
    return services;
}

size_t ServiceReach::unreached(const ServiceId& service) const {
    const auto it = m_records.find(service);
    return it == m_records.end() ? 0 : it->second.unreached.size();
}

}  // namespace onyx
