// The upstreams that exist, as the store lists them, and what changed since any of its revisions,
// so that boxes can pass on changes in place of the whole list.
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

// One life of an upstream. A replica that starts again, under another id or its own, is another
// incarnation: it holds and knows nothing of before.
struct Incarnation {
    std::string id;
    int64_t startedMs = 0;  // Unix time of its start, as it says itself; 0: not known.
    friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

// Stands for a start on the wire, in one byte: two starts of one upstream are taken for the same in
// 1 of 255 cases. 0: not known. Preconditions: none. Thread safety: any thread.
uint8_t StartTag(int64_t startedMs);

// An upstream as the store lists it.
struct Upstream {
    std::string id;
    ServiceId service;
    std::string address;  // "ip:port".
    ZoneId zone;
    bool draining = false;  // It gets no new work.
    int slots = 1;          // Requests that it works on at once.
    int64_t startedMs = 0;  // See Incarnation.
    Millis coldLeft = 0;    // How much longer it is cold, as of when it was told; 0: it is not.

    Incarnation incarnation() const { return {id, startedMs}; }
    friend bool operator==(const Upstream&, const Upstream&) = default;
};

// What changed in the list of upstreams up to a revision of the store.
struct UpstreamChanges {
    bool whole = false;  // `changed` is the whole list, not changes of it.
    uint64_t revision = 0;
    std::vector<Upstream> changed;
    std::vector<std::string> removed;  // Ids.
};

// Not thread safe: one task owns it.
class UpstreamTable {
public:
    // Takes in one upstream, new or changed, as the store has it at `revision`; `since`: when it
    // came, if it is new or has started again. Preconditions: it has an id.
    void put(Upstream upstream, MonoTime since, uint64_t revision);

    // Takes out the upstream `id`, which the store no longer has at `revision`.
    // Preconditions: none.
    void remove(const std::string& id, uint64_t revision);

    // All that the store has at `revision` is taken in. A lower one than before means that the
    // store was restored: what was told of changes until then is void. Preconditions: none.
    void setRevision(uint64_t revision);

    // The store's revision that this list is as of; 0 before the first. Preconditions: none.
    uint64_t revision() const { return m_revision; }

    // What changed since `revision`: the whole list if that is too long ago to say.
    // Preconditions: none.
    UpstreamChanges changesSince(uint64_t revision) const;

    // The upstream `id`, or nullptr. Valid until the next change. Preconditions: none.
    const Upstream* find(const std::string& id) const;

    // The upstreams of `service` that take new work, ordered by id. Valid until the next change.
    // Preconditions: none.
    std::vector<const Upstream*> acceptingUpstreams(const ServiceId& service) const;

    // One entry of the table.
    struct Entry {
        Upstream upstream;
        MonoTime since;
        uint64_t changedAt = 0;  // Revision of the store.
    };

    // All of them, by id. Preconditions: none.
    const std::map<std::string, Entry>& all() const { return m_entries; }

private:
    // Remembered of those taken out; who asks for older changes gets the whole list.
    static constexpr size_t kMaxRemoved = 1000;

    struct Removed {
        std::string id;
        uint64_t at = 0;
    };

    std::map<std::string, Entry> m_entries;
    std::deque<Removed> m_removed;
    uint64_t m_revision = 0;
    uint64_t m_oldestKnownRevision = 0;  // Changes since an older revision are not known.
};

}  // namespace onyx
