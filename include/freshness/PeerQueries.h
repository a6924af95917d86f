// Decides which peers are queried for the state of the store, how their replies are counted, and
// when data is fetched from one: while the store does not respond to this box, a box that it
// responds to can report the age of its own configuration and upstream list.
//
// A reply is valid as of the time at which the query was sent, less the age that it reports. A
// message without a query proves nothing: it may have been in transit for any length of time.
//
// Most queries ask for ages and revisions only. Newer data is fetched from one box at a time: a
// configuration can be larger than what the network connection of a box carries in a second.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace onyx {

// Tracks the queries of one box to its peers. Not thread safe: one task owns it.
class PeerQueries {
public:
    // Queries whose replies are still accepted.
    static constexpr size_t kMaxOpenQueries = 64;
    // Peers that are queried in one round: enough to reach one that the store responds to when a
    // third of the boxes is cut off.
    static constexpr size_t kPeersPerRound = 8;
    // A fetch that has not been answered for this long is abandoned; one of a whole list of
    // upstreams may take longer, because it is some megabytes on a large site.
    static constexpr Millis kFetchTimeoutMs = 1000;
    static constexpr Millis kListFetchTimeoutMs = 3000;

    // Notes that a query is sent now and returns its number.
    // Preconditions: `now` does not decrease from call to call.
    uint64_t ask(MonoTime now);

    // The time as of which the state of the replying box is valid, or nothing if the reply belongs
    // to no open query or reports no age (`age` < 0). Preconditions: none.
    std::optional<MonoTime> stateAsOf(uint64_t round, Millis age) const;

    // The peers to query in the next round: all if there are at most kPeersPerRound, else that many
    // in rotation. Preconditions: none.
    std::vector<std::string> nextPeers(const std::vector<std::string>& peers);

    // Starts a fetch of newer data from a peer and returns the number of its query, or nothing
    // while another fetch is in progress. `timeout`: in milliseconds. Preconditions: as for ask().
    std::optional<uint64_t> startFetch(MonoTime now, Millis timeout = kFetchTimeoutMs);

    // Notes that query `round` was answered. Returns true if it was the fetch in progress; another
    // one may then start.
    // Preconditions: none.
    bool endFetch(uint64_t round);

private:
    uint64_t m_round = 0;
    std::map<uint64_t, MonoTime> m_sentAt;
    size_t m_nextPeer = 0;
    std::optional<uint64_t> m_fetchRound;  // Query of the fetch in progress.
    Millis m_fetchTimeout = kFetchTimeoutMs;
};

}  // namespace onyx
