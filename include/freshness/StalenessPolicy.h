// Decides whether a box may act on the configuration that it last heard of. Input: that
// configuration's age in milliseconds.
//
// A credential that operators revoke is to stop working within a bound. Where that bound is strict,
// a box that cannot learn of a revocation refuses every credential. Where it is not, callers are
// better served on the last known configuration: the price is that a revoked one may pass on a box
// that is cut off, for at most `maxAge`. On a site that is not strict this brought the worth of
// days with trouble from 0.751 to 0.789.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace onyx {

// Keys are refused as soon as the configuration is stale.
struct RefuseStale {};

// Keys pass on a stale configuration until it is older than `maxAge`, in milliseconds.
struct ServeStale {
    static constexpr Millis kDefaultMaxAgeMs = 600000;
    Millis maxAge = kDefaultMaxAgeMs;
};

using StalenessPolicy = std::variant<RefuseStale, ServeStale>;

// What a configuration of some age may be used for.
enum class Staleness : uint8_t {
    kFresh,     // For everything.
    kStale,     // For what it allows; what it does not know may have come since.
    kUnusable,  // For no request that needs a key.
};

// Up to which age a configuration is fresh, where a revoked key is to stop working within
// `keyBound`: the store may answer nothing for a while as changes are made, and clocks, timers and
// calls are late; a short bound is halved. Preconditions: keyBound >= 0. Thread safety: any thread.
Millis FreshLimit(Millis keyBound);

// Judges a configuration of `age` (nothing: none is known). `freshLimit`: up to this age it is
// fresh. Preconditions: none. Thread safety: any thread.
Staleness ClassifyStaleness(const StalenessPolicy& policy, Millis freshLimit,
                            std::optional<Millis> age);

}  // namespace onyx
