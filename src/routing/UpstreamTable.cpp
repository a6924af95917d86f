#include "include/routing/UpstreamTable.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace onyx {

uint8_t StartTag(int64_t startedMs) {
    constexpr uint64_t kTagCount = 255;
    if (startedMs == 0) {
        return 0;
    }
    return static_cast<uint8_t>(1 + HashText(std::to_string(startedMs)) % kTagCount);
}

void UpstreamTable::countVersion(const Upstream& upstream) {
    ++m_versions[upstream.service][upstream.version];
}

void UpstreamTable::uncountVersion(const Upstream& upstream) {
    const auto service = m_versions.find(upstream.service);
    const auto version = service->second.find(upstream.version);
    if (--version->second == 0) {
        service->second.erase(version);
    }
    if (service->second.empty()) {
        m_versions.erase(service);
    }
}

void UpstreamTable::put(Upstream upstream, MonoTime since, uint64_t revision) {
    countVersion(upstream);
    const auto it = m_entries.find(upstream.id);
    if (it != m_entries.end()) {
        uncountVersion(it->second.upstream);
        const int64_t before = it->second.upstream.startedMs;
        if (before != 0 && upstream.startedMs != before) {
            it->second.since = since;
        }
        const bool movesService = it->second.upstream.service != upstream.service;
        if (movesService) {
            removeFromRing(it->second);
        }
        it->second.upstream = std::move(upstream);
        it->second.changedAt = revision;
        if (movesService) {
            addToRing(it->second);
        }
        return;
    }
    std::string id = upstream.id;
    const auto added =
        m_entries.emplace(std::move(id), Entry{std::move(upstream), since, revision}).first;
    addToRing(added->second);
    m_byNumber[ShortHash(added->first)] = &added->second;
}

void UpstreamTable::addToRing(const Entry& entry) {
    Ring& ring = m_rings[entry.upstream.service];
    const RingNode node{HashText(entry.upstream.id), &entry};
    const auto isBefore = [](const RingNode& a, const RingNode& b) {
        return std::tie(a.position, a.entry->upstream.id) <
               std::tie(b.position, b.entry->upstream.id);
    };
    ring.insert(std::upper_bound(ring.begin(), ring.end(), node, isBefore), node);
}

void UpstreamTable::removeFromRing(const Entry& entry) {
    const auto found = m_rings.find(entry.upstream.service);
    Ring& ring = found->second;
    auto it = std::lower_bound(ring.begin(), ring.end(), HashText(entry.upstream.id), IsBefore);
    it = std::find_if(it, ring.end(), [&](const RingNode& node) { return node.entry == &entry; });
    ring.erase(it);
    if (ring.empty()) {
        m_rings.erase(found);
    }
}

size_t UpstreamTable::count(const ServiceId& service) const {
    const auto found = m_rings.find(service);
    return found == m_rings.end() ? 0 : found->second.size();
}

const UpstreamTable::Entry* UpstreamTable::findByNumber(uint32_t number) const {
    const auto it = m_byNumber.find(number);
    return it == m_byNumber.end() ? nullptr : it->second;
}

void UpstreamTable::remove(const std::string& id, uint64_t revision) {
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return;
    }
    uncountVersion(it->second.upstream);
    removeFromRing(it->second);
    const auto numbered = m_byNumber.find(ShortHash(id));
    if (numbered != m_byNumber.end() && numbered->second == &it->second) {
        m_byNumber.erase(numbered);
    }
    m_entries.erase(it);
    recordRemoval(id, revision);
}

void UpstreamTable::dropChanges() {
    m_oldestKnownRevision = m_revision;
    m_removed.clear();
}

void UpstreamTable::recordRemoval(const std::string& id, uint64_t revision) {
    m_removed.push_back({id, revision});
    if (m_removed.size() > kMaxRemoved) {
        m_oldestKnownRevision = std::max(m_oldestKnownRevision, m_removed.front().at);
        m_removed.pop_front();
    }
}

void UpstreamTable::setRevision(uint64_t revision) {
    const bool first = m_revision == 0;
    const bool restored = revision < m_revision;
    if (first || restored) {
        m_oldestKnownRevision = revision;
    }
    if (restored) {
        m_removed.clear();
        for (auto& [id, entry] : m_entries) {
            entry.changedAt = revision;
        }
    }
    m_revision = revision;
}

bool UpstreamTable::wasRemovedSince(const std::string& id, uint64_t revision) const {
    return std::any_of(m_removed.begin(), m_removed.end(), [&](const Removed& removed) {
        return removed.id == id && removed.at > revision;
    });
}

UpstreamChanges UpstreamTable::changesSince(uint64_t revision) const {
    UpstreamChanges changes;
    changes.revision = m_revision;
    changes.whole = revision < m_oldestKnownRevision;
    for (const auto& [id, entry] : m_entries) {
        if (changes.whole || entry.changedAt > revision) {
            changes.changed.push_back(entry.upstream);
        }
    }
    for (const Removed& removed : m_removed) {
        if (!changes.whole && removed.at > revision && !m_entries.contains(removed.id)) {
            changes.removed.push_back(removed.id);
        }
    }
    return changes;
}

const Upstream* UpstreamTable::find(const std::string& id) const {
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.upstream;
}

std::vector<const Upstream*> UpstreamTable::acceptingUpstreams(const ServiceId& service) const {
    std::vector<const Upstream*> out;
    for (const auto& [id, entry] : m_entries) {
        if (entry.upstream.service == service && !entry.upstream.draining) {
            out.push_back(&entry.upstream);
        }
    }
    return out;
}

}  // namespace onyx
