#include "include/health/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace onyx {

void UpstreamHealth::fade(Record& record, MonoTime now) const {
    const double age = static_cast<double>(now - record.seen);
    const double factor = std::exp(-age / static_cast<double>(m_settings.memory));
    record.answered *= factor;
    record.failed *= factor;
    record.seen = now;
}

bool UpstreamHealth::eject(Record& record, MonoTime now) const {
    record.pause = record.pause == 0 ? m_settings.firstEjection
                                     : std::min(m_settings.maxEjection, record.pause * 2);
    record.until = now + record.pause;
    record.answered = 0;
    record.failed = 0;
    return true;
}

bool UpstreamHealth::note(const std::string& upstream, UpstreamSign sign, MonoTime sent,
                          MonoTime now) {
    Record& record = m_records[upstream];
    fade(record, now);
    if (sign == UpstreamSign::kAnswered || sign == UpstreamSign::kFailed) {
        record.answeredAt = now;
    }
    if (sign == UpstreamSign::kSilent && record.answeredAt >= sent) {
        return false;
    }
    if (sign == UpstreamSign::kAnswered) {
        record.answered += 1;
        record.silentInARow = 0;
        if (now >= record.until) {
            record.pause = 0;
        }
        return false;
    }
    if (now < record.until) {
        return false;  // Requests sent before the pause began prove nothing new.
    }
    record.failed += 1;
    if (sign == UpstreamSign::kUnreachable) {
        return eject(record, now);
    }
    if (sign == UpstreamSign::kSilent && ++record.silentInARow >= m_settings.leastSilent) {
        return eject(record, now);
    }
    const double share = record.failed / (record.failed + record.answered);
    if (record.failed > m_settings.leastFailures - 0.5 && share > m_settings.failedShare) {
        return eject(record, now);
    }
    return false;
}

bool UpstreamHealth::isEjected(const std::string& upstream, MonoTime now) const {
    const auto it = m_records.find(upstream);
    return it != m_records.end() && now < it->second.until;
}

}  // namespace onyx
