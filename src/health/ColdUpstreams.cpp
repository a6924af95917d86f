#include "include/health/ColdUpstreams.h"

#include <algorithm>

namespace onyx {

const ColdUpstreams::Record* ColdUpstreams::find(const Incarnation& upstream) const {
    const auto it = m_records.find(upstream.id);
    const bool later = it != m_records.end() && upstream.startedMs > it->second.startedMs;
    return it == m_records.end() || later ? nullptr : &it->second;
}

void ColdUpstreams::evictOne() {
    m_records.erase(std::min_element(
        m_records.begin(), m_records.end(),
        [](const auto& a, const auto& b) { return a.second.coldUntil < b.second.coldUntil; }));
}

bool ColdUpstreams::note(const Incarnation& upstream, Millis remaining, MonoTime now) {
    const bool known = m_records.contains(upstream.id);
    if (!known && remaining <= 0) {
        return false;
    }
    if (!known && m_records.size() >= kMaxUpstreams) {
        evictOne();
    }
    Record& record = m_records[upstream.id];
    if (upstream.startedMs != 0 && upstream.startedMs < record.startedMs) {
        return false;
    }
    const bool wasCold = upstream.startedMs <= record.startedMs && record.coldUntil > now;
    record.startedMs = std::max(record.startedMs, upstream.startedMs);
    record.coldUntil = now + remaining;
    return !wasCold && remaining > 0;
}

std::optional<Millis> ColdUpstreams::coldLeft(const Incarnation& upstream, MonoTime now) const {
    const Record* record = find(upstream);
    if (record == nullptr || record->coldUntil <= now) {
        return std::nullopt;
    }
    return record->coldUntil - now;
}

void ColdUpstreams::recordSend(const Incarnation& upstream, MonoTime now) {
    const auto it = m_records.find(upstream.id);
    if (it != m_records.end() && it->second.coldUntil > now) {
        it->second.lastSent = now;
    }
}

Millis ColdUpstreams::waitBeforeSend(const Incarnation& upstream, Millis spacing,
                                     MonoTime now) const {
    const Record* record = find(upstream);
    if (record == nullptr || !record->lastSent) {
        return 0;
    }
    return std::max<Millis>(0, *record->lastSent + spacing - now);
}

}  // namespace onyx
