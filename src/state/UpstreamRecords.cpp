#include "include/state/UpstreamRecords.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace onyx {

namespace {

// Maximum number of recorded starts, including those of removed upstreams. Far above the number of
// upstreams of a site. When it is reached, all records are cleared and rebuilt.
constexpr size_t kMaxRecordedStarts = 65536;

}  // namespace

void UpstreamRecords::forget(const std::string& id) {
    m_pool.drop(id);
    m_health.forget(id);
    m_loads.forget(id);
}

uint64_t UpstreamRecords::beginAttempt(const Incarnation& upstream,
                                       std::function<void()> onRestart) {
    if (!isSuperseded(upstream)) {
        m_loads.addRequest(upstream.id);
    }
    m_activeAttempts[++m_lastAttempt] = {upstream, std::move(onRestart)};
    return m_lastAttempt;
}

// The count of an attempt at an earlier incarnation was discarded together with that incarnation.
// Subtracting it here would make the request count of the new incarnation too low.
void UpstreamRecords::endAttempt(uint64_t attempt) {
    const auto it = m_activeAttempts.find(attempt);
    if (it == m_activeAttempts.end()) {
        return;
    }
    if (!isSuperseded(it->second.upstream)) {
        m_loads.removeRequest(it->second.upstream.id);
    }
    m_activeAttempts.erase(it);
}

int64_t UpstreamRecords::latestStartOf(const std::string& id) const {
    const auto it = m_latestStarts.find(ShortHash(id));
    return it == m_latestStarts.end() ? 0 : it->second.startedMs;
}

bool UpstreamRecords::isSuperseded(const Incarnation& upstream) const {
    return upstream.startedMs < latestStartOf(upstream.id);
}

bool UpstreamRecords::isCurrent(uint32_t number, uint8_t tag) const {
    const auto it = m_latestStarts.find(number);
    if (it == m_latestStarts.end()) {
        return true;
    }
    return tag == 0 ? !it->second.restarted : tag == StartTag(it->second.startedMs);
}

uint8_t UpstreamRecords::startTagOf(uint32_t number) const {
    const auto it = m_latestStarts.find(number);
    return it == m_latestStarts.end() ? 0 : StartTag(it->second.startedMs);
}

std::optional<int64_t> UpstreamRecords::recordStart(const Incarnation& upstream) {
    if (upstream.startedMs == 0) {
        return std::nullopt;
    }
    if (m_latestStarts.size() >= kMaxRecordedStarts) {
        m_latestStarts.clear();
    }
    LatestStart& latest = m_latestStarts[ShortHash(upstream.id)];
    const int64_t before = std::exchange(latest.startedMs, upstream.startedMs);
    if (before == 0 || before >= upstream.startedMs) {
        latest.startedMs = std::max(before, upstream.startedMs);
        return std::nullopt;
    }
    latest.restarted = true;
    endIncarnation(upstream);
    return before;
}

// All records of the upstream are about the previous incarnation, and its requests have ended.
// Attempts that wait for an answer from it are notified now and don't wait for their deadlines.
void UpstreamRecords::endIncarnation(const Incarnation& upstream) {
    const uint32_t number = ShortHash(upstream.id);
    m_pool.drop(upstream.id);
    m_health.forget(upstream.id);
    m_loads.reset(upstream.id);
    m_peerCounts.forgetUpstream(number);
    m_caches.forgetHolder(number);
    std::vector<std::function<void()>> ended;
    for (const auto& [attempt, active] : m_activeAttempts) {
        if (active.upstream.id == upstream.id && isSuperseded(active.upstream)) {
            ended.push_back(active.onRestart);
        }
    }
    for (const auto& onRestart : ended) {
        onRestart();
    }
}

UpstreamLoad UpstreamRecords::load(const std::string& id, MonoTime now) const {
    const int counted = m_loads.own(id) + m_peerCounts.at(id);
    return {counted, std::max(m_loads.total(id, now), counted), m_loads.lastReport(id, now)};
}

void UpstreamRecords::recordPrompt(std::span<const std::string> sharedParts, const std::string& id,
                                   MonoTime now) {
    m_caches.recordAnswer(sharedParts, id, now);
    if (!sharedParts.empty()) {
        m_prompts.note(ShortHash(sharedParts.back()), now);
    }
}

double UpstreamRecords::promptShare(std::span<const std::string> sharedParts, MonoTime now) const {
    return sharedParts.empty() ? 0 : m_prompts.share(ShortHash(sharedParts.back()), now);
}

bool UpstreamRecords::recordSignal(const std::string& id, HealthSignal sign, MonoTime sent,
                                   MonoTime now) {
    if (!m_health.note(id, sign, sent, now)) {
        return false;
    }
    // Closes the idle connections. A request sent on one of them may have reached the upstream,
    // whereas a request whose connection fails to open has not, so the next request that tries this
    // upstream can still be sent to another one.
    m_pool.drop(id);
    return true;
}

}  // namespace onyx
