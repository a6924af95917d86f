#include "include/placement/WorkTimes.h"

#include "include/base/Hash.h"

namespace onyx {

void WorkTimes::note(const std::string& upstream, int percent, MonoTime now) {
    m_reports[ShortHash(upstream)] = {percent, now};
    if (now - m_cleanedAt < kMaxAge) {
        return;
    }
    m_cleanedAt = now;
    std::erase_if(m_reports, [&](const auto& entry) { return now - entry.second.at > kMaxAge; });
}

int WorkTimes::percent(const std::string& upstream, MonoTime now) const {
    if (m_reports.empty()) {
        return kUsualPercent;
    }
    const auto it = m_reports.find(ShortHash(upstream));
    return it == m_reports.end() || now - it->second.at > kMaxAge ? kUsualPercent
                                                                  : it->second.percent;
}

}  // namespace onyx
