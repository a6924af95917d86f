// Tracks which upstreams asked, in an answer, to get no requests from this box.
//
// Unlike an ejection, this holds even if no upstream is left at all, and a successful answer does
// not end it: it ends only when its time is over or the upstream starts again. An upstream that
// announced its shutdown gets no more requests in this incarnation.
//
// Inputs: what answers asked for, for the incarnation that sent them. Records are kept while an
// upstream is not listed, because entries of the list expire while the store is unreachable.
#pragma once

#include "include/base/Time.h"
#include "include/routing/UpstreamTable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// Thread safety: none; one task owns it.
class UpstreamAvoidance {
public:
    static constexpr size_t kMaxUpstreams =
        4096;  // Beyond this many records the oldest is evicted.

    // Records that the upstream asked for no requests until `until`. Returns whether a
    // backoff begins, that is, none was in force. If several were asked for, the longest holds.
    // Preconditions: `now` never decreases between calls.
    bool recordBackoff(const Incarnation& upstream, MonoTime until, MonoTime now);

    // Records that the upstream is shutting down. Returns whether this was not recorded before.
    // Preconditions: `now` never decreases between calls.
    bool recordLeaving(const Incarnation& upstream, MonoTime now);

    // Returns for how long the upstream gets no requests, in milliseconds, or nullopt if no backoff
    // is in force. Preconditions: `now` never decreases between calls.
    std::optional<Millis> remainingBackoff(const Incarnation& upstream, MonoTime now) const;

    // Returns whether no request may be sent to the upstream.
    // Preconditions: `now` never decreases between calls.
    bool isAvoided(const Incarnation& upstream, MonoTime now) const {
        return isLeaving(upstream) || remainingBackoff(upstream, now).has_value();
    }
    // Returns whether the upstream announced its shutdown. Preconditions: none.
    bool isLeaving(const Incarnation& upstream) const;

    // Returns whether any upstream is recorded: if none is, no other question need be asked.
    // Preconditions: none.
    bool hasRecords() const { return !m_records.empty(); }

private:
    struct Record {
        int64_t startedMs = 0;  // Start of the incarnation that asked, Unix time in ms.
        MonoTime backoffUntil;
        bool leaving = false;
        MonoTime updatedAt;
    };

    const Record* find(const Incarnation& upstream) const;
    Record* findOrCreate(const Incarnation& upstream, MonoTime now);
    void evictOne();

    std::unordered_map<std::string, Record> m_records;  // By upstream id.
};

}  // namespace onyx
