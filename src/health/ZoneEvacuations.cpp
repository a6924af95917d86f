#include "include/health/ZoneEvacuations.h"

namespace onyx {

EvacuationChanges ZoneEvacuations::applyChanges(const EvacuationChanges& changes,
                                                bool acceptLowerRevision, MonoTime now) {
    EvacuationChanges applied;
    applied.revision = changes.revision;
    if (changes.revision < m_revision && !acceptLowerRevision) {
        return applied;
    }
    m_revision = changes.revision;
    std::vector<std::string> ended = changes.ended;
    if (changes.whole) {
        const std::set<std::string> inForce(changes.begun.begin(), changes.begun.end());
        for (const std::string& zone : m_zones) {
            if (!inForce.contains(zone)) {
                ended.push_back(zone);
            }
        }
    }
    for (const std::string& zone : ended) {
        if (m_zones.erase(zone) > 0) {
            m_ended[zone] = now;
            applied.ended.push_back(zone);
        }
    }
    for (const std::string& zone : changes.begun) {
        if (m_zones.insert(zone).second) {
            m_ended.erase(zone);
            applied.begun.push_back(zone);
        }
    }
    return applied;
}

bool ZoneEvacuations::isEvacuated(const ZoneId& zone, std::optional<Millis> listAge,
                                  MonoTime now) const {
    if (m_zones.contains(zone.value)) {
        return true;
    }
    const auto it = m_ended.find(zone.value);
    if (it == m_ended.end() || now - it->second >= kMaxReturnDelayMs) {
        return false;
    }
    return !listAge || now - *listAge < it->second;
}

}  // namespace onyx
