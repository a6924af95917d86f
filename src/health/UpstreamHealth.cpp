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

void UpstreamHealth::eject(Record& record, MonoTime now) const {
    record.pause = record.pause == 0 ? m_settings.firstEjection
                                     : std::min(m_settings.maxEjection, record.pause * 2);
    record.until = now + record.pause;
    record.answered = 0;
    record.failed = 0;
}

bool UpstreamHealth::note(const std::string& upstream, HealthSignal sign, MonoTime sent,
                          MonoTime now) {
    Record& record = m_records[upstream];
    fade(record, now);
    if (sign == HealthSignal::kAnswered || sign == HealthSignal::kFailed) {
        record.answeredAt = now;
    }
    if (sign == HealthSignal::kSilent && record.answeredAt >= sent) {
        return false;
    }
    if (sign == HealthSignal::kAnswered) {
        noteAnswer(record, now);
        return false;
    }
    if (now < record.until) {
        return false;  // Attempts that began before the ejection prove nothing new.
    }
    record.failed += 1;
    if (!provesTrouble(record, sign)) {
        return false;
    }
    eject(record, now);
    return true;
}

void UpstreamHealth::noteAnswer(Record& record, MonoTime now) {
    record.answered += 1;
    record.silentInARow = 0;
    if (now >= record.until) {
        record.pause = 0;
    }
}

bool UpstreamHealth::provesTrouble(Record& record, HealthSignal sign) const {
    if (sign == HealthSignal::kUnreachable) {
        return true;
    }
    if (sign == HealthSignal::kSilent && ++record.silentInARow >= m_settings.minSilent) {
        return true;
    }
    const double share = record.failed / (record.failed + record.answered);
    return record.failed > m_settings.minFailures - 0.5 && share > m_settings.failedShare;
}

bool UpstreamHealth::isEjected(const std::string& upstream, MonoTime now) const {
    const auto it = m_records.find(upstream);
    return it != m_records.end() && now < it->second.until;
}

}  // namespace onyx
