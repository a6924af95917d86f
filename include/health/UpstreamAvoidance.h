// Decides which upstreams get no request from this box because they asked for that in an answer.
// Unlike an ejection this holds also where it leaves no upstream at all, and no good answer ends
// it: only its time, or another start of the upstream. One that leaves gets none for good.
//
// Inputs: what answers said, for the incarnation that said it. Kept also while an upstream is not
// listed, since entries lapse while the store is away.
#pragma once

#include "include/base/Time.h"
#include "include/routing/UpstreamTable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// Not thread safe: one task owns it.
class UpstreamAvoidance {
public:
    static constexpr size_t kMaxUpstreams = 4096;  // Remembered; beyond it the oldest go.

    // The upstream wants no requests until `until`; true if this is news.
    // Preconditions: times do not fall.
    bool recordBackoff(const Incarnation& upstream, MonoTime until, MonoTime now);

    // The upstream is about to end; true if this is news. Preconditions: as above.
    bool recordLeaving(const Incarnation& upstream, MonoTime now);

    // How long the upstream wants no requests, in milliseconds; nothing if it takes them.
    // Preconditions: as above.
    std::optional<Millis> remainingBackoff(const Incarnation& upstream, MonoTime now) const;

    // Whether the upstream is to get no request. Preconditions: as above.
    bool isAvoided(const Incarnation& upstream, MonoTime now) const {
        return isLeaving(upstream) || remainingBackoff(upstream, now).has_value();
    }
    // Whether it said that it is about to end. Preconditions: none.
    bool isLeaving(const Incarnation& upstream) const;

private:
    struct Record {
        int64_t startedMs = 0;  // Of the incarnation that asked.
        MonoTime backoffUntil;
        bool leaving = false;
        MonoTime updatedAt;
    };

    const Record* find(const Incarnation& upstream) const;
    Record* findOrCreate(const Incarnation& upstream, MonoTime now);
    void evictOne();

    std::unordered_map<std::string, Record> m_records;  // By id.
};

}  // namespace onyx
