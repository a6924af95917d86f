#include "include/health/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace onyx {

void UpstreamHealth::decay(Record& record, MonoTime now) const {
    const double age = static_cast<double>(now - record.decayedAt);
    const double factor = std::exp(-age / static_cast<double>(m_settings.decayTime));
    record.answered *= factor;
    record.failed *= factor;
    record.decayedAt = now;
}

void UpstreamHealth::eject(Record& record, MonoTime now) const {
    record.lastEjection = record.lastEjection == 0
                              ? m_settings.firstEjection
                              : std::min(m_settings.maxEjection, record.lastEjection * 2);
    record.ejectedUntil = now + record.lastEjection;
    record.answered = 0;
    record.failed = 0;
}

bool UpstreamHealth::note(const std::string& upstream, HealthSignal signal, MonoTime sent,
                          MonoTime now) {
    Record& record = m_records[upstream];
    decay(record, now);
    if (signal == HealthSignal::kAnswered || signal == HealthSignal::kFailed) {
        record.lastAnswerAt = now;
    }
    if (signal == HealthSignal::kSilent && record.lastAnswerAt >= sent) {
        return false;
    }
    if (signal == HealthSignal::kAnswered) {
        noteAnswer(record, now);
        return false;
    }
    if (now < record.ejectedUntil) {
        return false;  // From attempts that began before the ejection: nothing new.
    }
    record.failed += 1;
    if (!warrantsEjection(record, signal)) {
        return false;
    }
    eject(record, now);
    record.ejectedAsUnreachable = signal == HealthSignal::kUnreachable;
    return true;
}

void UpstreamHealth::endUnreachable(const std::string& upstream) {
    const auto it = m_records.find(upstream);
    if (it != m_records.end() && it->second.ejectedAsUnreachable) {
        it->second.ejectedUntil = {};
        it->second.lastEjection = 0;
    }
}

void UpstreamHealth::noteAnswer(Record& record, MonoTime now) {
    record.answered += 1;
    record.consecutiveSilent = 0;
    if (now >= record.ejectedUntil) {
        record.lastEjection = 0;
    }
}

bool UpstreamHealth::warrantsEjection(Record& record, HealthSignal signal) const {
    if (signal == HealthSignal::kUnreachable) {
        return true;
    }
    if (signal == HealthSignal::kSilent &&
        ++record.consecutiveSilent >= m_settings.minConsecutiveSilent) {
        return true;
    }
    const double share = record.failed / (record.failed + record.answered);
    return record.failed > m_settings.minFailures - 0.5 && share > m_settings.maxFailureShare;
}

bool UpstreamHealth::isEjected(const std::string& upstream, MonoTime now) const {
    const auto it = m_records.find(upstream);
    return it != m_records.end() && now < it->second.ejectedUntil;
}

}  // namespace onyx
