// Decides which other boxes are asked for what the store has, what their answers count for, and
// when something is fetched from one: while the store does not answer this box, a box that it does
// answer may say how old its own configuration and list are.
//
// An answer counts from when the question was sent, less the age that it reports. A message that
// nobody asked for proves nothing: it may have been on its way for any time.
//
// Most questions ask for ages and revisions only. What is newer somewhere is fetched from one box
// at a time: a configuration can be larger than what a box's line carries in a second.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it.
class PeerQueries {
public:
    // Questions that still may be stateAsOf.
    static constexpr size_t kMaxOpenQueries = 64;
    // Boxes that are asked in one round: enough to meet one that the store answers when a third of
    // them is cut off.
    static constexpr size_t kPeersPerRound = 8;
    // A box that was asked for more than ages and has not stateAsOf for this long is given up on.
    static constexpr Millis kFetchTimeoutMs = 1000;

    // Notes that a question is sent now and returns its number. Preconditions: times do not fall.
    uint64_t ask(MonoTime now);

    // As of when this box knows what the answering box knew, or nothing if the answer belongs to
    // no question or reports no age. Preconditions: none.
    std::optional<MonoTime> stateAsOf(uint64_t round, Millis age) const;

    // The boxes to ask in the next round: all of a few, else some of them in turn.
    // Preconditions: none.
    std::vector<std::string> nextPeers(const std::vector<std::string>& peers);

    // Begins to fetch from a box what it has newer: the number of that question, or nothing while
    // another fetch is under way. Preconditions: times do not fall.
    std::optional<uint64_t> startFetch(MonoTime now);

    // The question `round` was stateAsOf; true if it was a fetch, and another may start.
    // Preconditions: none.
    bool endFetch(uint64_t round);

private:
    uint64_t m_round = 0;
    std::map<uint64_t, MonoTime> m_sentAt;
    size_t m_nextPeer = 0;
    std::optional<uint64_t> m_fetchRound;  // Its question, while one is under way.
};

}  // namespace onyx
