// The table of upstreams as listed by the store. It also keeps the changes since earlier revisions
// of the store, so that boxes can send each other changes instead of the whole list.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
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
    // Adds or updates an upstream as stored at `revision`. `since`: when it was first seen; used
    // only if the upstream is new or has restarted. Preconditions: the upstream has an id.
    void put(Upstream upstream, MonoTime since, uint64_t revision);

    // Removes the upstream `id`, which the store no longer lists at `revision`.
    // Preconditions: none.
    void remove(const std::string& id, uint64_t revision);

    // Marks the table as complete up to `revision`. A lower revision than the current one means
    // that the store was restored, which invalidates all recorded changes. Preconditions: none.
    void setRevision(uint64_t revision);

    // Returns the revision of the store that the table reflects; 0 before the first list.
    // Preconditions: none.
    uint64_t revision() const { return m_revision; }

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

private:
    // Bound on recorded removals. changesSince() returns the whole list for older revisions.
    static constexpr size_t kMaxRemoved = 1000;

    struct Removed {
        std::string id;
        uint64_t at = 0;
    };

    std::map<std::string, Entry> m_entries;
    std::deque<Removed> m_removed;
    uint64_t m_revision = 0;
    uint64_t m_oldestKnownRevision = 0;  // Changes since older revisions are not recorded.
};

}  // namespace onyx
