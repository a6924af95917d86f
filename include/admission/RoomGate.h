// Decides at one box whether a request for a service is admitted for want of room, and counts what
// the decision of all boxes needs.
//
// With shares of the whole site (RoomShares) each class sends its part of its requests. A box
// without recent shares goes on with the last ones, or with none, and scales them by what it sees
// itself: less after requests that upstreams turned away or that were late, a little more after
// each period without (additive increase, multiplicative decrease).
#pragma once

#include "include/admission/RoomCounts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
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
};

// One service at one box. Not thread safe: one task owns it.
class RoomGate {
public:
    // Age in milliseconds up to which shares of the site are used as they are.
    static constexpr Millis kMaxSharesAge = 1000;

    // `seed`: of the random times after which callers may retry. Preconditions: none.
    explicit RoomGate(uint64_t seed);

    // Decides on a request that arrives, and counts it. `fingerprint`: of the request, the same
    // when its caller sends it again. Preconditions: `now` does not decrease between calls.
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
};

}  // namespace onyx
