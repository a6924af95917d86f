#include "include/state/UpstreamList.h"

#include "include/observe/Events.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace onyx {

namespace {

// In milliseconds. A shift of the end of an upstream's cold time counts as a change only if it is
// longer than this.
constexpr Millis kMinColdEndChange = 500;

void LogChange(const Upstream& upstream, std::string_view source) {
    logEvent(Event::kUpstreamChanged, {{"upstream", upstream.id},
                                       {"service", upstream.service.value},
                                       {"address", upstream.address},
                                       {"state", upstream.draining ? "leaving" : "ready"},
                                       {"cold_ms", std::to_string(upstream.coldLeft)},
                                       {"source", std::string(source)}});
}

void LogCold(const Upstream& upstream, bool sends, std::string_view source) {
    logEvent(Event::kUpstreamCold, {{"upstream", upstream.id},
                                    {"cold_ms", std::to_string(upstream.coldLeft)},
                                    {"sends", sends ? "yes" : "no"},
                                    {"source", std::string(source)}});
}

// The ids of the upstreams that `changes` removes from `table`.
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
        applyEntry(upstream, changes.revision, source, now);
    }
    const bool skipsChanges = isPartial() && changes.revision > m_table.revision();
    m_table.setRevision(changes.revision);
    if (changes.whole) {
        if (skipsChanges) {
            // Upstreams that the partial list lacked may have been removed since its last change.
            m_table.dropChanges();
        }
        noteWhole(source);
    }
}

// Adds the upstreams that the partial list lacks. Those that have changed since the older list was
// valid are known already, because the partial list has all changes since its first page.
void UpstreamList::complete(const UpstreamChanges& list, std::string_view source, MonoTime now) {
    if (!isPartial() || !list.whole || list.revision < m_table.oldestKnownRevision()) {
        return;
    }
    for (const Upstream& upstream : list.changed) {
        const bool isKnown = m_table.find(upstream.id) != nullptr;
        if (!isKnown && !m_table.wasRemovedSince(upstream.id, list.revision)) {
            applyEntry(upstream, list.revision, source, now);
        }
    }
    noteWhole(source);
}

void UpstreamList::noteWhole(std::string_view source) {
    if (!std::exchange(m_hasList, true)) {
        logEvent(Event::kUpstreamsListed, {{"count", std::to_string(m_table.all().size())},
                                           {"revision", std::to_string(m_table.revision())},
                                           {"source", std::string(source)}});
    }
}

bool UpstreamList::covers(std::span<const ServiceSpec> services) const {
    return m_hasList ||
           (!services.empty() &&
            std::all_of(services.begin(), services.end(), [this](const ServiceSpec& service) {
                return m_table.count(service.name) > 0;
            }));
}

bool UpstreamList::reportsStartTimes() const {
    const auto& all = m_table.all();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& entry) { return entry.second.upstream.startedMs != 0; });
}

Millis UpstreamList::coldLeft(const std::string& id, MonoTime now) const {
    const Upstream* upstream = m_table.find(id);
    return upstream == nullptr
               ? 0
               : m_records.cold().coldLeft(upstream->incarnation(), now).value_or(0);
}

void UpstreamList::recordStart(const Upstream& upstream, std::string_view source) {
    const auto before = m_records.recordStart(upstream.incarnation());
    if (before) {
        logEvent(Event::kUpstreamRestarted, {{"upstream", upstream.id},
                                             {"start_before_ms", std::to_string(*before)},
                                             {"start_ms", std::to_string(upstream.startedMs)},
                                             {"source", std::string(source)}});
    }
}

// An entry from a box of an earlier build has no start time and no version, so the recorded ones
// are used. An entry of an earlier incarnation, which a box or a copy of the store may deliver
// late, is ignored.
void UpstreamList::applyEntry(Upstream upstream, uint64_t revision, std::string_view source,
                              MonoTime now) {
    if (upstream.startedMs == 0) {
        upstream.startedMs = m_records.latestStartOf(upstream.id);
    }
    const Upstream* known = m_table.find(upstream.id);
    if (upstream.version.empty() && known != nullptr) {
        upstream.version = known->version;
    }
    if (!m_records.isSuperseded(upstream.incarnation())) {
        put(upstream, revision, source, now);
    }
}

// A cold upstream writes its remaining cold time to the store repeatedly, which is no change by
// itself. If each write were forwarded, a zone that comes back would cost each box and each link
// the equivalent of four lists.
bool UpstreamList::isChange(const Upstream& upstream, MonoTime now) const {
    const Upstream* known = m_table.find(upstream.id);
    if (known == nullptr) {
        return true;
    }
    Upstream withKnownCold = upstream;
    withKnownCold.coldLeft = known->coldLeft;
    const Millis change = upstream.coldLeft - coldLeft(upstream.id, now);
    return withKnownCold != *known || std::abs(change) > kMinColdEndChange;
}

void UpstreamList::put(const Upstream& upstream, uint64_t revision, std::string_view source,
                       MonoTime now) {
    if (!isChange(upstream, now)) {
        return;
    }
    recordStart(upstream, source);
    if (upstream.draining) {
        m_records.dropConnections(upstream.id);
    }
    if (m_records.cold().note(upstream.incarnation(), upstream.coldLeft, now)) {
        LogCold(upstream, m_records.coldShare().maySend(upstream.id, now), source);
    }
    // The first list is logged as one line by apply(). On a large site one line for each upstream
    // would keep the box logging for a second.
    if (m_hasList) {
        LogChange(upstream, source);
    }
    // Upstreams in the first list existed before this box read it, so they count as old.
    const MonoTime since = m_hasList ? now : MonoTime{};
    m_table.put(upstream, since, revision);
}

void UpstreamList::remove(const std::string& id, uint64_t revision, std::string_view source) {
    if (m_table.find(id) == nullptr) {
        // It may be on a page of the list that this box has not read.
        if (isPartial()) {
            m_table.recordRemoval(id, revision);
        }
        return;
    }
    m_table.remove(id, revision);
    m_records.forget(id);
    logEvent(Event::kUpstreamChanged,
             {{"upstream", id}, {"state", "gone"}, {"source", std::string(source)}});
}

}  // namespace onyx
