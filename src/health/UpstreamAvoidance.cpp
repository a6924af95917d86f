#include "include/health/UpstreamAvoidance.h"

#include <algorithm>

namespace onyx {

// An unknown start time counts as that of the recorded incarnation.
const UpstreamAvoidance::Record* UpstreamAvoidance::find(const Incarnation& upstream) const {
    const auto it = m_records.find(upstream.id);
    const bool later = it != m_records.end() && upstream.startedMs > it->second.startedMs;
    return it == m_records.end() || later ? nullptr : &it->second;
}

// Returns the record of this incarnation, or nullptr if a later incarnation is recorded.
UpstreamAvoidance::Record* UpstreamAvoidance::findOrCreate(const Incarnation& upstream,
                                                           MonoTime now) {
    if (!m_records.contains(upstream.id) && m_records.size() >= kMaxUpstreams) {
        evictOne();
    }
    Record& record = m_records[upstream.id];
    if (upstream.startedMs != 0 && upstream.startedMs < record.startedMs) {
        return nullptr;
    }
    if (upstream.startedMs > record.startedMs) {
        record = {upstream.startedMs, {}, false, now};
    }
    record.updatedAt = now;
    return &record;
}

void UpstreamAvoidance::evictOne() {
    m_records.erase(std::min_element(
        m_records.begin(), m_records.end(),
        [](const auto& a, const auto& b) { return a.second.updatedAt < b.second.updatedAt; }));
}

bool UpstreamAvoidance::recordBackoff(const Incarnation& upstream, MonoTime until, MonoTime now) {
    if (until <= now) {
        return false;
    }
    Record* record = findOrCreate(upstream, now);
    if (record == nullptr) {
        return false;
    }
    const bool isNew = record->backoffUntil <= now;
    record->backoffUntil = std::max(record->backoffUntil, until);
    return isNew;
}

bool UpstreamAvoidance::recordLeaving(const Incarnation& upstream, MonoTime now) {
    Record* record = findOrCreate(upstream, now);
    if (record == nullptr || record->leaving) {
        return false;
    }
    record->leaving = true;
    return true;
}

bool UpstreamAvoidance::isLeaving(const Incarnation& upstream) const {
    const Record* record = find(upstream);
    return record != nullptr && record->leaving;
}

std::optional<Millis> UpstreamAvoidance::remainingBackoff(const Incarnation& upstream,
                                                          MonoTime now) const {
    const Record* record = find(upstream);
    if (record == nullptr || record->backoffUntil <= now) {
        return std::nullopt;
    }
    return record->backoffUntil - now;
}

}  // namespace onyx
