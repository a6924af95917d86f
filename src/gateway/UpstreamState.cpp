#include "include/gateway/UpstreamState.h"

#include "include/observe/Events.h"

#include <algorithm>
#include <set>

namespace onyx {

namespace {

void LogChange(const Upstream& upstream, std::string_view source) {
    logEvent(Event::kUpstreamChanged, {{"upstream", upstream.id},
                                       {"service", upstream.service.value},
                                       {"address", upstream.address},
                                       {"state", upstream.draining ? "leaving" : "ready"},
                                       {"source", std::string(source)}});
}

// The upstreams of `table` that `changes` take out.
std::vector<std::string> RemovedBy(const UpstreamChanges& changes, const UpstreamTable& table) {
    std::vector<std::string> removed = changes.removed;
    if (!changes.whole) {
        return removed;
    }
    std::set<std::string_view> listed;
    for (const Upstream& upstream : changes.changed) {
        listed.insert(upstream.id);
    }
    for (const auto& [id, entry] : table.all()) {
        if (!listed.contains(id)) {
            removed.push_back(id);
        }
    }
    return removed;
}

}  // namespace

void UpstreamState::apply(const UpstreamChanges& changes, std::string_view source, MonoTime now) {
    for (const std::string& id : RemovedBy(changes, m_table)) {
        remove(id, changes.revision, source);
    }
    for (const Upstream& upstream : changes.changed) {
        put(upstream, changes.revision, source, now);
    }
    m_table.setRevision(changes.revision);
    if (!m_listed) {
        m_listed = true;
        logEvent(Event::kUpstreamsListed, {{"count", std::to_string(m_table.all().size())},
                                           {"revision", std::to_string(changes.revision)},
                                           {"source", std::string(source)}});
    }
}

void UpstreamState::put(const Upstream& upstream, uint64_t revision, std::string_view source,
                        MonoTime now) {
    const Upstream* known = m_table.find(upstream.id);
    if (known != nullptr && *known == upstream) {
        return;
    }
    if (upstream.draining) {
        m_pool.drop(upstream.id);
    }
    // The first list is one line: a box of a large site would log for a second otherwise.
    if (m_listed) {
        LogChange(upstream, source);
    }
    // What was there before this box looked counts as old.
    const MonoTime since = m_listed ? now : MonoTime{};
    m_table.put(upstream, since, revision);
}

void UpstreamState::remove(const std::string& id, uint64_t revision, std::string_view source) {
    if (m_table.find(id) == nullptr) {
        return;
    }
    m_table.remove(id, revision);
    m_pool.drop(id);
    m_health.forget(id);
    m_loads.forget(id);
    logEvent(Event::kUpstreamChanged,
             {{"upstream", id}, {"state", "gone"}, {"source", std::string(source)}});
}

int UpstreamState::load(const std::string& id, MonoTime now) const {
    return std::max(m_loads.total(id, now), m_loads.own(id) + m_peerCounts.at(id));
}

bool UpstreamState::noteSign(const std::string& id, UpstreamSign sign, MonoTime sent,
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
