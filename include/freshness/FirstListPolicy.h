// Decides whether a box that has just started reads the whole list of upstreams from the store, or
// leaves that to other boxes of its zone and takes the list from one of them.
//
// The list grows with the site, and so does the number of boxes that read it: if all do, the bytes
// from the store grow with the square of the site. So after the first page of a list that has more,
// most boxes wait for a peer; a few, chosen at random, read on, and each box that has the list
// passes it on to a few others at a time. A list of one page is always read.
//
// Inputs: whether others start by this box, its links, whether it has a list; times in
// milliseconds.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace onyx {

// Not thread safe: one task owns it.
class FirstListPolicy {
public:
    // One box in this many reads on at once.
    static constexpr uint64_t kBoxesPerReader = 8;
    // A box waits for a peer for a random time between these two.
    static constexpr Millis kMinWait = 4000;
    static constexpr Millis kMaxWait = 6000;
    // A box that reads on has read the list by then, also over a slow line, unless the store fails.
    static constexpr Millis kMaxReadTime = 3000;
    // A box that has no link by then has no peer to wait for.
    static constexpr Millis kLinkWait = 1000;

    // `seed`: of the random choices. Preconditions: none.
    explicit FirstListPolicy(uint64_t seed) : m_seed(seed) {}

    // Returns whether the box leaves the rest of a list to its peers, whose first page it has read.
    // A box waits once only. `isSeed`: other boxes that start query this one first.
    // Preconditions: `now` does not decrease between calls.
    bool leavesRestToPeers(bool isSeed, MonoTime now);

    // Returns whether the box still waits for a peer. Preconditions: as above.
    bool isWaiting(size_t links, bool hasList, MonoTime now) const;

    // Returns whether the box is reading the rest of the list, so that it need not read it once
    // more because a peer has it. Preconditions: as above.
    bool isReadingOn(bool hasList, MonoTime now) const;

private:
    uint64_t m_seed;
    std::optional<MonoTime> m_waitsSince;
    std::optional<MonoTime> m_readsOnSince;
};

// Limits how often a box sends the whole list to others, so that its line is not shared by so many
// that none gets the list soon. Not thread safe: one task owns it.
class ListSendLimit {
public:
    static constexpr size_t kListsPerPeriod = 2;
    static constexpr Millis kPeriod = 1000;

    // Takes one list; returns false if none may be sent now. Preconditions: `now` does not decrease
    // between calls.
    bool tryTake(MonoTime now);

private:
    std::deque<MonoTime> m_sent;
};

}  // namespace onyx
