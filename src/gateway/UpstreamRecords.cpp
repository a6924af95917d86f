#include "include/gateway/UpstreamRecords.h"

#include <algorithm>

namespace onyx {

void UpstreamRecords::forget(const std::string& id) {
    m_pool.drop(id);
    m_health.forget(id);
    m_loads.forget(id);
}

int UpstreamRecords::load(const std::string& id, MonoTime now) const {
    return std::max(m_loads.total(id, now), m_loads.own(id) + m_peerCounts.at(id));
}

bool UpstreamRecords::noteSign(const std::string& id, UpstreamSign sign, MonoTime sent,
                               MonoTime now) {
    if (!m_health.note(id, sign, sent, now)) {
        return false;
    }
    // Bytes sent on a kept connection may have arrived, those of a connection that does not open
    // have not: the request that tries this upstream next can still go elsewhere.
    m_pool.drop(id);
    return true;
}

}  // namespace onyx
