// Decides which upstreams are cold, and when this box may send each of them its next request.
//
// An upstream that has just started, or was idle for long, bears only a few requests a second of
// all boxes together, and falls over well above that. Which boxes send to it, and how far apart,
// is ColdShare's matter; here stands coldUntil when it is cold and when this box lastSent last.
//
// Inputs: what the list of upstreams and answers say, for the incarnation that they speak of. Kept
// also while an upstream is not listed, since entries lapse while the store is away.
#pragma once

#include "include/base/Time.h"
#include "include/routing/UpstreamTable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// Not thread safe: one task owns it.
class ColdUpstreams {
public:
    static constexpr size_t kMaxUpstreams = 4096;  // Remembered; beyond it the oldest go.

    // The upstream is cold for `left` milliseconds from now on; 0: it is not. True if it becomes
    // cold by that. What is said of an earlier incarnation changes nothing.
    // Preconditions: times do not fall; left >= 0.
    bool note(const Incarnation& upstream, Millis left, MonoTime now);

    // How long it stays cold, in milliseconds; nothing if it is not. A start that is not known
    // counts as the one that was spoken of. Preconditions: as above.
    std::optional<Millis> coldLeft(const Incarnation& upstream, MonoTime now) const;

    // An attempt of this box goes to the upstream. Preconditions: as above.
    void recordSend(const Incarnation& upstream, MonoTime now);

    // How long this box waits before it sends a cold upstream another request, if its requests are
    // `spacing` milliseconds apart; 0: it may send now. Preconditions: as above.
    Millis waitBeforeSend(const Incarnation& upstream, Millis spacing, MonoTime now) const;

private:
    struct Record {
        int64_t startedMs = 0;  // Of the incarnation that is cold.
        MonoTime coldUntil;
        std::optional<MonoTime> lastSent;  // Last, while it was cold.
    };

    const Record* find(const Incarnation& upstream) const;
    void evictOne();

    std::unordered_map<std::string, Record> m_records;  // By id.
};

}  // namespace onyx
