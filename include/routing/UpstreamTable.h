// The table of upstreams as listed by the store. It also keeps the changes since earlier revisions
// of the store, so that boxes can send each other changes instead of the whole list, and a hash
// ring of each service, so that a request need not look at all upstreams of a large service.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace onyx {

// One run of an upstream, from its start to its end. A replica that restarts, under the same id or
// another one, is another incarnation: it has no state of the one before.
struct Incarnation {
    std::string id;
    int64_t startedMs = 0;  // Start as reported by the upstream, Unix time in ms; 0: unknown.
    friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

// Returns a one-byte hash that identifies a start time on the wire; 0: unknown. Two starts of one
// upstream have the same tag in 1 of 255 cases. Preconditions: none. Thread safety: any thread.
uint8_t StartTag(int64_t startedMs);

// An upstream as listed by the store.
struct Upstream {
    std::string id;
    ServiceId service;
    std::string address;  // "ip:port".
    ZoneId zone;
    bool draining = false;  // It gets no new requests.
    int slots = 1;          // Requests that it runs concurrently.
    int64_t startedMs = 0;  // See Incarnation.
    Millis coldLeft = 0;  // Time for which it is still cold, as of the report, in ms; 0: not cold.
    std::string version;  // Of its software; empty: unknown.

    Incarnation incarnation() const { return {id, startedMs}; }
    friend bool operator==(const Upstream&, const Upstream&) = default;
};

// The changes of the upstream list up to a revision of the store.
struct UpstreamChanges {
    bool whole = false;  // `changed` is the whole list, not only changes.
    uint64_t revision = 0;
    std::vector<Upstream> changed;
    std::vector<std::string> removed;  // Ids.
};

// Thread safety: none; one task owns it.
class UpstreamTable {
public:
    UpstreamTable() = default;
    // The rings point to the entries, which keep their addresses when the table moves.
    UpstreamTable(const UpstreamTable&) = delete;
    UpstreamTable& operator=(const UpstreamTable&) = delete;
    UpstreamTable(UpstreamTable&&) = default;
    UpstreamTable& operator=(UpstreamTable&&) = default;

    // Adds or updates an upstream as stored at `revision`. `since`: when it was first seen; used
    // only if the upstream is new or has restarted. Preconditions: the upstream has an id.
    void put(Upstream upstream, MonoTime since, uint64_t revision);

    // Removes the upstream `id`, which the store no longer lists at `revision`.
    // Preconditions: none.
    void remove(const std::string& id, uint64_t revision);

    // Records that the upstream `id`, which the table does not have, was removed at `revision`.
    // Preconditions: none.
    void recordRemoval(const std::string& id, uint64_t revision);

    // Drops the recorded changes, so that changesSince() returns the whole list for all revisions
    // before the current one. Preconditions: none.
    void dropChanges();

    // Marks the table as complete up to `revision`. A lower revision than the current one means
    // that the store was restored, which invalidates all recorded changes. Preconditions: none.
    void setRevision(uint64_t revision);

    // Returns the revision of the store that the table reflects; 0 before the first list.
    // Preconditions: none.
    uint64_t revision() const { return m_revision; }

    // Returns the oldest revision since which all changes are recorded. Preconditions: none.
    uint64_t oldestKnownRevision() const { return m_oldestKnownRevision; }

    // Returns whether the upstream `id` was removed after `revision`.
    // Preconditions: revision >= oldestKnownRevision().
    bool wasRemovedSince(const std::string& id, uint64_t revision) const;

    // Returns the changes since `revision`, or the whole list if `revision` is older than the
    // recorded changes. Preconditions: none.
    UpstreamChanges changesSince(uint64_t revision) const;

    // Returns the upstream `id`, or nullptr if there is none. The pointer is valid until the next
    // change of the table. Preconditions: none.
    const Upstream* find(const std::string& id) const;

    // Returns the upstreams of `service` that accept new requests, ordered by id. The pointers are
    // valid until the next change of the table. Preconditions: none.
    std::vector<const Upstream*> acceptingUpstreams(const ServiceId& service) const;

    // One entry of the table.
    struct Entry {
        Upstream upstream;
        MonoTime since;
        uint64_t changedAt = 0;  // Revision of the store at the last change.
    };

    // Returns all entries by id. Preconditions: none.
    const std::map<std::string, Entry>& all() const { return m_entries; }

    // Returns the number of upstreams of `service`. Preconditions: none.
    size_t count(const ServiceId& service) const;

    // Numbers of upstreams by the version of their software.
    using VersionCounts = std::map<std::string, size_t>;
    // Returns the versions of each service, with the number of their upstreams.
    // Preconditions: none.
    const std::map<ServiceId, VersionCounts>& versions() const { return m_versions; }

    // Calls `visit` for the upstreams of `service` in the order of their hash ring, each once, from
    // the first one at or after `position`. Ends when `visit` returns false. All boxes have the
    // same order. Preconditions: `visit` does not change the table.
    template <class Visit>
    void visitRing(const ServiceId& service, uint64_t position, Visit visit) const {
        const auto found = m_rings.find(service);
        if (found == m_rings.end()) {
            return;
        }
        const Ring& ring = found->second;
        const auto start = std::lower_bound(ring.begin(), ring.end(), position, IsBefore);
        const auto first = static_cast<size_t>(start - ring.begin());
        for (size_t i = 0; i < ring.size(); ++i) {
            if (!visit(*ring[(first + i) % ring.size()].entry)) {
                return;
            }
        }
    }

    // Returns the entry of the upstream whose id has this ShortHash, or nullptr if there is none.
    // Preconditions: as for find().
    const Entry* findByNumber(uint32_t number) const;

private:
    // Bound on recorded removals. changesSince() returns the whole list for older revisions.
    static constexpr size_t kMaxRemoved = 1000;

    struct Removed {
        std::string id;
        uint64_t at = 0;
    };
    // An upstream on the ring of its service, at the hash of its id.
    struct RingNode {
        uint64_t position = 0;
        const Entry* entry = nullptr;
    };
    using Ring = std::vector<RingNode>;  // By position, then by id.

    static bool IsBefore(const RingNode& node, uint64_t position) {
        return node.position < position;
    }
    void countVersion(const Upstream& upstream);
    void uncountVersion(const Upstream& upstream);
    void addToRing(const Entry& entry);
    void removeFromRing(const Entry& entry);

    std::map<std::string, Entry> m_entries;
    std::map<ServiceId, Ring> m_rings;
    std::map<ServiceId, VersionCounts> m_versions;
    std::unordered_map<uint32_t, const Entry*> m_byNumber;  // By the ShortHash of the id.
    std::deque<Removed> m_removed;
    uint64_t m_revision = 0;
    uint64_t m_oldestKnownRevision = 0;  // Changes since older revisions are not recorded.
};

}  // namespace onyx
