// Decides whether a box calls the store itself, or relies on the state of its peers.
//
// Inputs: the rank of the box in its zone, the age of its state, which peers replied lately and the
// ages that they reported; all times in milliseconds.
//
// Operators pay for every call, including refused ones, and a failing store is called by all boxes
// at once. State that any box got from the store is as good as its age says, however many boxes
// forwarded it. So a box calls the store only if no peer that it can query has newer state, and
// when the store responds to no box, a few boxes of the site try at a time.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace onyx {

// All times in milliseconds; FitFollowers() sets the first two.
struct StoreCallSettings {
    Millis peerQueryAge = 1000;  // Peers besides the watcher are queried once the state is older.
    Millis maxAge = 1300;        // The store is called once the state is older than this.
    // A box that has just started waits for replies of its peers for a random time between these
    // two: peers that have state reply within a few round trips. The wait is no longer because
    // after a restart of all boxes every second without state is a second of refused requests.
    Millis minStartWait = 50;
    Millis maxStartWait = 150;
    // Factor of the start wait while the store lists no upstream, or no configuration yet: no
    // request could be served, so the wait refuses none. At the start of a whole site, before its
    // upstreams were registered, 570 of the calls (two for each of 295 boxes) were useless.
    Millis idleFactor = 20;
    // A box without state calls without limit for this long after that wait, then in turn: a store
    // that works responds within a few tries.
    Millis freeCallPeriod = 1000;
    // While the store responds to no box, each box tries once in this time multiplied by the number
    // of boxes of the site. The watchers keep trying as well, so the recovery of the store is
    // detected within their pause.
    Millis turnIntervalPerBox = 80;
    // Number of boxes of a zone, next in order after its watchers, that try at once: the store may
    // be refusing just the watchers.
    size_t deputies = 1;
    // Number of peers without fresh state from which a box concludes that the store is failing and
    // not only the peers that this box queries.
    size_t minStaleReports = 4;
};

// Inputs of the decision besides the replies of peers.
struct StoreCallInputs {
    bool isWatcher = false;    // The box watches the store for its zone.
    bool inSmallZone = false;  // Every box of its zone is known to watch the store.
    bool isSeed = false;       // Boxes that start query this box first.
    bool discovered = false;   // The box has discovered the boxes of its zone.
    bool idle = false;         // The store lists nothing that requests could be served with.
    size_t rank = 0;           // Boxes before it in the common order of the zone, without watchers.
    size_t links = 0;          // Peers that it can query.
    size_t boxes = 1;          // In the site, including this box.
    std::optional<Millis> age;  // Of the older part of the state; nothing if a part is missing.
};

// Why a box calls the store, or does not.
enum class StoreCallReason : uint8_t {
    kWatcher,     // Calls: the box watches the store for its zone.
    kSmallZone,   // Calls: every box of a small zone does.
    kYoung,       // Does not call: its state is fresh enough.
    kStarting,    // Does not call: it has just started, and peers may reply.
    kFirst,       // Calls: no peer has sent it state since it started, or it is a seed that just
                  // started.
    kAlone,       // Calls: it has no peer to rely on, or too few replied to conclude that the store
                  // fails.
    kDeputy,      // Calls: next in order where the watchers of the zone have no fresh state.
    kAwaitsTurn,  // Does not call: the store responds to no box, and others try first.
    kTurn,        // Calls: it is its turn to try.
};

// The name of the reason in the log. Preconditions: none. Thread safety: any thread.
std::string_view StoreCallReasonName(StoreCallReason reason);

// Whether a box may call the store, and why.
struct StoreCallDecision {
    bool calls = false;  // The box may call the store now.
    StoreCallReason reason = StoreCallReason::kStarting;
    friend bool operator==(const StoreCallDecision&, const StoreCallDecision&) = default;
};

// The policy of one box. Not thread safe: one task owns it.
class StoreCallPolicy {
public:
    // `seed`: of the random waits. Preconditions: times do not decrease from call to call.
    StoreCallPolicy(const StoreCallSettings& settings, MonoTime started, uint64_t seed);

    // Notes a reply of box `from`. `age`: of the older part of its state; nothing if a part is
    // missing. Preconditions: as above.
    void noteReply(const std::string& from, std::optional<Millis> age, MonoTime now);

    // Whether the store may be called now. Preconditions: as above.
    StoreCallDecision decide(const StoreCallInputs& inputs, MonoTime now);

private:
    bool hasStaleReports(const StoreCallInputs& inputs, MonoTime now);
    StoreCallDecision decideByTurn(const StoreCallInputs& inputs, MonoTime now);
    Millis randomBetween(Millis min, Millis max);

    StoreCallSettings m_settings;
    MonoTime m_started;
    std::minstd_rand m_random;
    Millis m_startWait = 0;
    // Peers that reported state older than peerQueryAge, and when. The state of all boxes gets old
    // together: if only state older than maxAge counted, no box would get enough reports in time.
    std::map<std::string, MonoTime> m_staleReports;
    // When this box may try next; nothing while the store responds.
    std::optional<MonoTime> m_nextTurn;
};

}  // namespace onyx
