// Tracks which upstreams are cold, and when this box may send the next request to each of them.
//
// An upstream that has just started, or was idle for a long time, can serve only a few requests per
// second from all boxes together, and fails under a load well above that. ColdShare decides which
// boxes send to it and how far apart their requests are; this class stores until when an upstream
// is cold and when this box last sent a request to it.
//
// Inputs: the cold times reported by the upstream list and by answers, each for the incarnation
// that it refers to. Records are kept while an upstream is not listed, because entries of the list
// expire while the store is unreachable.
#pragma once

#include "include/base/Time.h"
#include "include/routing/UpstreamTable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// Thread safety: none; one task owns it.
class ColdUpstreams {
public:
    static constexpr size_t kMaxUpstreams =
        4096;  // Beyond this many records the oldest is evicted.

    // Records that the upstream is cold for another `remaining` milliseconds, or not cold if
    // `remaining` is 0. Returns whether the upstream was not cold before and now is. A report on an
    // earlier incarnation than the recorded one is ignored. Preconditions: `now` never decreases
    // between calls; remaining >= 0.
    bool note(const Incarnation& upstream, Millis remaining, MonoTime now);

    // Returns how long the upstream stays cold, in milliseconds, or nullopt if it is not cold. An
    // unknown start time counts as that of the recorded incarnation.
    // Preconditions: `now` never decreases between calls.
    std::optional<Millis> coldLeft(const Incarnation& upstream, MonoTime now) const;

    // Records that this box sends an attempt to the upstream.
    // Preconditions: `now` never decreases between calls.
    void recordSend(const Incarnation& upstream, MonoTime now);

    // Returns how long, in milliseconds, this box must wait before it sends another request to a
    // cold upstream, if its requests are to be `spacing` milliseconds apart; 0: it may send now.
    // Preconditions: `now` never decreases between calls.
    Millis waitBeforeSend(const Incarnation& upstream, Millis spacing, MonoTime now) const;

    // Returns whether any upstream is recorded: if none is, no other question need be asked.
    // Preconditions: none.
    bool hasRecords() const { return !m_records.empty(); }

private:
    struct Record {
        int64_t startedMs = 0;  // Start of the cold incarnation, Unix time in ms.
        MonoTime coldUntil;
        std::optional<MonoTime> lastSent;  // Last request of this box while it was cold.
    };

    const Record* find(const Incarnation& upstream) const;
    void evictOne();

    std::unordered_map<std::string, Record> m_records;  // By upstream id.
};

}  // namespace onyx
