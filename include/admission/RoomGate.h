// Decides at one box whether a request for a service is admitted for want of room, and counts what
// the decision of all boxes needs.
//
// With shares of the whole site (RoomShares) each class sends its part of its requests. A box
// without recent shares goes on with the last ones, or with none, and scales them by what it sees
// itself: less after requests that upstreams turned away or that were late, a little more after
// each period without (additive increase, multiplicative decrease).
#pragma once

#include "include/admission/FairShares.h"
#include "include/admission/RecentRate.h"
#include "include/admission/RefusedRequests.h"
#include "include/admission/RoomCounts.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace onyx {

// The request is sent to an upstream.
struct RoomGranted {};
// There is no room. `retryAfter`: when the caller may find some, in milliseconds; different callers
// get different times, so that they do not return together.
struct NoRoom {
    Millis retryAfter = 0;
    double fraction = 0;     // The part of the class that is admitted.
    bool ownShares = false;  // Decided on what this box saw itself, without recent shares.
};
using RoomDecision = std::variant<RoomGranted, NoRoom>;

// How a request ended at an upstream.
struct RoomEnd {
    int priority = 5;
    Millis objective = 0;             // Of its route.
    Millis took = 0;                  // Its time at the upstream.
    std::optional<Millis> firstByte;  // From its arrival at this box; nothing: no answer.
    bool declined = false;            // The upstream turned it away for want of room.
    bool unanswered = false;          // No answer within the objective, and then none any more.
};

// One service at one box. Not thread safe: one task owns it.
class RoomGate {
public:
    // Age in milliseconds up to which shares of the site are used as they are.
    static constexpr Millis kMaxSharesAge = 1000;
    // Classes that are counted by themselves; further teams are counted as team 0.
    static constexpr size_t kMaxClasses = 1024;

    // `seed`: of the random times after which callers may retry. Preconditions: none.
    explicit RoomGate(uint64_t seed);

    // Decides on a request that arrives, and counts it. `fingerprint`: of the request, the same
    // when its caller sends it again: before the time that it was told it is refused again and not
    // counted. Preconditions: `now` does not decrease between calls.
    RoomDecision decide(const DemandClass& of, uint64_t fingerprint, MonoTime now);
    // Counts a request that is admitted without being asked about: one that may have run already.
    // Preconditions: as above.
    void noteExempt(const DemandClass& of, MonoTime now);

    // Counts a request that is sent to an upstream, and its end there. Preconditions: each
    // noteEnded() follows a noteSent(); `now` as above.
    void noteSent(MonoTime now);
    void noteEnded(const RoomEnd& end, MonoTime now);

    // Sets the shares of the site, as of `asOf`. Preconditions: none.
    void setShares(RoomShares shares, MonoTime asOf);

    // What this box saw lately. Preconditions: `now` as above.
    RoomCounts counts(MonoTime now);
    // Whether requests are refused at present. Preconditions: `now` as above.
    bool isLimited(MonoTime now);

private:
    struct ClassState {
        RecentRate arrived{kArrivalStepMs};
        RecentRate admitted{kArrivalStepMs};
        RecentRate arrivedLong{kOwnStepMs};
        double credit = 0;  // Requests that may be sent; each one that arrives adds its fraction.
        MonoTime lastArrival;
    };
    struct PriorityState {
        Millis objective = 0;
        RecentRate finished{kCountStepMs};
        RecentRate late{kCountStepMs};
        RecentRate busyMs{kCountStepMs};
        RecentRate firstByteMs{kCountStepMs};
    };
    // What this box admits without recent shares.
    struct OwnRoom {
        double rate = 0;  // Requests per second.
        MonoTime lastCut;
        MonoTime lastRaise;
        bool isCut = false;  // By what this box saw, not by the last shares of the site.
    };
    // Of a shortage, by an end at an upstream; bad is late or turned away.
    enum class Sign : uint8_t { kFast, kUsual, kSlow, kBad };
    struct RecentEnd {
        Sign sign = Sign::kFast;
        MonoTime at;
    };

    static constexpr Millis kCountStepMs = 50;    // Counts of ends cover 600 ms,
    static constexpr Millis kArrivalStepMs = 25;  // those of arrivals 300 ms,
    static constexpr Millis kOwnStepMs = 250;     // the rates for the own decision 3 s.
    static constexpr size_t kEnds = 8;            // The latest ones that may show a shortage.

    ClassState& classOf(const DemandClass& of, MonoTime now);
    double nextRandom();
    Millis spreadRetryAfter(Millis mean);
    NoRoom refuse(const DemandClass& of, uint64_t fingerprint, MonoTime now);

    bool hasRecentShares(MonoTime now) const;
    const RoomShares& shares(MonoTime now);
    void refreshOwn(MonoTime now);
    void adjustOwn(const RoomEnd& end, MonoTime now);
    void cutOwn(MonoTime now);
    RoomShares ownShares(MonoTime now);
    std::vector<ClassDemand> ownDemands(MonoTime now);
    double arrivalRate(MonoTime now);

    static Sign SignOf(const RoomEnd& end);
    void noteSign(Sign sign, MonoTime now);
    int64_t countSigns(Sign least, MonoTime from) const;
    bool isPressed(MonoTime now) const;
    void forgetIdle(MonoTime now);

    std::mt19937_64 m_random;
    std::map<DemandClass, ClassState> m_classes;
    std::map<int, PriorityState> m_priorities;
    RecentRate m_arrivedLong{kOwnStepMs};
    RecentRate m_admittedLong{kOwnStepMs};
    RecentRate m_declined{kCountStepMs};
    std::optional<MonoTime> m_lastDeclined;
    std::array<RecentEnd, kEnds> m_ends;
    size_t m_nextEnd = 0;
    MonoTime m_lastUnfast;  // The last end that was not Sign::kFast.
    int64_t m_inFlight = 0;

    RefusedRequests m_refused;
    RoomShares m_shares;
    std::optional<MonoTime> m_sharesAsOf;
    std::optional<OwnRoom> m_own;
    RoomShares m_ownShares;
    std::optional<MonoTime> m_ownSharesAt;
};

}  // namespace onyx
