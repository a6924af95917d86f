// Tracks which upstreams said that they are brittle: one that turns too many requests away within a
// second ends. Decides for how long this box sends such an upstream nothing after it has turned a
// request away.
//
// Inputs: what answers say, for the incarnation that sent them; the number of boxes. An upstream is
// brittle until an answer does not say so. Each box acts alone: with these pauses all boxes
// together cause at most half of the refusals that the upstream bears, since each box has at least
// one request refused before it pauses, and some are under way then.
#pragma once

#include "include/base/Time.h"
#include "include/routing/UpstreamTable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// Thread safety: none; one task owns it.
class BrittleUpstreams {
public:
    // Upstreams on record; when it is full, further ones are taken for sound.
    static constexpr size_t kMaxUpstreams = 4096;
    // Fraction of the bearable refusals that all boxes together plan to cause.
    static constexpr double kPlannedFraction = 0.5;

    // Records what an answer says: the refusals per second that the upstream bears, or nothing if
    // it is not brittle. Preconditions: none.
    void note(const Incarnation& upstream, std::optional<int> bearableRefusals);

    // Returns whether the upstream is brittle. Preconditions: none.
    bool isBrittle(const Incarnation& upstream) const { return find(upstream).has_value(); }

    // Returns for how many milliseconds this box sends the upstream nothing after a refusal, on a
    // site of `boxes` boxes; nothing if it is not brittle. Preconditions: boxes > 0.
    std::optional<Millis> pauseAfterRefusal(const Incarnation& upstream, size_t boxes) const;

    // Returns whether any upstream is brittle. Preconditions: none.
    bool hasRecords() const { return !m_records.empty(); }

private:
    struct Record {
        int64_t startedMs = 0;
        int bearableRefusals = 0;  // In a second.
    };

    std::optional<int> find(const Incarnation& upstream) const;

    std::unordered_map<std::string, Record> m_records;
};

}  // namespace onyx
