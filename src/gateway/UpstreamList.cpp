#include "include/gateway/UpstreamList.h"

#include "include/observe/Events.h"

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

void UpstreamList::apply(const UpstreamChanges& changes, std::string_view source, MonoTime now) {
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

void UpstreamList::put(const Upstream& upstream, uint64_t revision, std::string_view source,
                       MonoTime now) {
    const Upstream* known = m_table.find(upstream.id);
    if (known != nullptr && *known == upstream) {
        return;
    }
    if (upstream.draining) {
        m_records.dropConnections(upstream.id);
    }
    // The first list is one line: a box of a large site would log for a second otherwise.
    if (m_listed) {
        LogChange(upstream, source);
    }
    // What was there before this box looked counts as old.
    const MonoTime since = m_listed ? now : MonoTime{};
    m_table.put(upstream, since, revision);
}

void UpstreamList::remove(const std::string& id, uint64_t revision, std::string_view source) {
    if (m_table.find(id) == nullptr) {
        return;
    }
    m_table.remove(id, revision);
    m_records.forget(id);
    logEvent(Event::kUpstreamChanged,
             {{"upstream", id}, {"state", "gone"}, {"source", std::string(source)}});
}

}  // namespace onyx
