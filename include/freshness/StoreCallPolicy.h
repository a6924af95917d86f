// Decides whether a box calls the store itself, or relies on what other boxes have of it.
//
// Inputs: the box's place among those of its zone, how old its knowledge is, which boxes answered
// lately and how old theirs is; all times in milliseconds.
//
// The reason: the operators price every call, refused ones too, and a store in trouble is asked by
// all boxes at once. Knowledge that any box got from the store is as good as its age says, however
// many boxes it came through; so a box calls only if nobody it can ask has younger knowledge, and
// when the store answers nobody, a few boxes of the site try at a time.
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
    Millis peerQueryAge = 1000;  // Other boxes than the watcher are asked once knowledge is older,
    Millis maxAge = 1300;        // and the store itself once it is older than this.
    // A box that has just started waits for other boxes' answers between these times, by chance:
    // where some know, they answer within a few round trips. Not longer: after the loss of all
    // boxes each second without knowledge is a second of refusals.
    Millis minStartWait = 50;
    Millis maxStartWait = 150;
    // Where the store lists no upstream, or no configuration yet, nobody could be served and nobody
    // is refused for the wait: it is this many times as long. At a start of a whole site, before
    // its upstreams are there, 570 of 295 boxes' two calls each were made for nothing.
    Millis idleFactor = 20;
    // A box without knowledge calls freely for this long after that wait, then in turn: if the
    // store answers, it does so within a few tries.
    Millis freeCallPeriod = 1000;
    // While the store answers nobody, each box tries once in this times the boxes of the site. The
    // watchers try besides, so the store's return is found within their pause.
    Millis turnIntervalPerBox = 80;
    // Boxes of a zone, next in order to its watchers, that try at once. The watchers may
    // be those that the store turns away.
    size_t deputies = 1;
    // So many boxes with nothing younger show that the store is in trouble and not only this box's
    // sources.
    size_t minStaleReports = 4;
};

// What the decision depends on besides the answers of other boxes.
struct StoreCallInputs {
    bool isWatcher = false;    // It watches the store for its zone.
    bool inSmallZone = false;  // It is known that every box of its zone watches.
    bool isSeed = false;       // Other boxes ask it first when they start.
    bool discovered = false;   // It knows the boxes of its zone.
    bool idle = false;         // The store lists nothing that callers could be served with.
    size_t rank = 0;   // Boxes of the zone before it in the common order, watchers left out.
    size_t links = 0;  // Boxes that it can ask.
    size_t boxes = 1;  // Of the site, this one included.
    std::optional<Millis> age;  // Of the older part of what it knows; nothing if it lacks some.
};

// Why the store is called, or not.
enum class StoreCallReason : uint8_t {
    kWatcher,     // Calls: it watches for its zone.
    kSmallZone,   // Calls: every box of the zone does.
    kYoung,       // Relies: its knowledge is young.
    kStarting,    // Relies: it has just started, others may answer.
    kFirst,       // Calls: nobody told it anything since it started, or it is a seed that just did.
    kAlone,       // Calls: there is no box to rely on, or too few answered to tell.
    kDeputy,      // Calls: next in order where the zone's watchers know nothing young.
    kAwaitsTurn,  // Relies: the store answers nobody, others try first.
    kTurn,        // Calls: its turn to try.
};

// The reason as it stands in the log. Thread safety: any thread.
std::string_view StoreCallReasonName(StoreCallReason reason);

struct StoreCallDecision {
    bool calls = false;  // It may call the store now.
    StoreCallReason reason = StoreCallReason::kStarting;
    friend bool operator==(const StoreCallDecision&, const StoreCallDecision&) = default;
};

// Not thread safe: one task owns it.
class StoreCallPolicy {
public:
    // `seed`: of the random waits. Preconditions: times do not fall.
    StoreCallPolicy(const StoreCallSettings& settings, MonoTime started, uint64_t seed);

    // Box `from` answered; `age`: of the older part of what it knows, nothing if it lacks some.
    // Preconditions: times do not fall.
    void noteReply(const std::string& from, std::optional<Millis> age, MonoTime now);

    // Whether the store may be called now. Preconditions: as above.
    StoreCallDecision decide(const StoreCallInputs& facts, MonoTime now);

private:
    bool hasStaleReports(const StoreCallInputs& facts, MonoTime now);
    StoreCallDecision decideByTurn(const StoreCallInputs& facts, MonoTime now);
    Millis randomBetween(Millis least, Millis most);

    StoreCallSettings m_settings;
    MonoTime m_started;
    std::minstd_rand m_random;
    Millis m_startWait = 0;
    // Boxes whose knowledge was older than peerQueryAge, and when they said so. All boxes'
    // knowledge gets old together: were only what is over maxAge old, no box would find a witness
    // in time.
    std::map<std::string, MonoTime> m_staleReports;
    std::optional<MonoTime> m_nextTurn;  // When this box may try next; nothing: no trouble.
};

}  // namespace onyx
