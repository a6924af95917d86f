// Decides whether a box may act on the last configuration that it received, and whether that
// configuration proves that something does not exist. Input: its age in milliseconds.
//
// The two have bounds of their own: one on how long a revoked credential may work, and one on how
// long a change may take. What a box does not know may have been added; that it does not exist is
// proved only while every change that has to be in force is part of the configuration.
//
// A credential that operators revoke has to stop working within a bound. Where that bound is
// strict, a box that cannot receive revocations refuses every credential. Where it is not strict,
// callers are better served on the last known configuration; the cost is that a revoked credential
// may be accepted by a box that is cut off, for at most `maxAge`. On a site that is not strict,
// this raised the score of days with faults from 0.751 to 0.789.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace onyx {

// Refuses keys as soon as the configuration is stale.
struct RefuseStale {};

// Accepts keys on a stale configuration until it is older than `maxAge`, in milliseconds.
struct ServeStale {
    static constexpr Millis kDefaultMaxAgeMs = 600000;
    Millis maxAge = kDefaultMaxAgeMs;
};

using StalenessPolicy = std::variant<RefuseStale, ServeStale>;

// What a configuration may be used for at its age.
enum class Staleness : uint8_t {
    kFresh,     // For every request.
    kStale,     // For what it allows; newer changes may be missing from it.
    kUnusable,  // For no request that needs a key.
};

// The age up to which a configuration is fresh, in milliseconds, if a revoked key has to stop
// working within `keyBound`: the bound less the time for which the store may not respond while
// changes are made and the delay of clocks, timers and calls, but at least half of the bound.
// Preconditions: keyBound >= 0. Thread safety: any thread.
Millis FreshLimit(Millis keyBound);

// The age up to which a configuration proves that a route or a credential does not exist, in
// milliseconds, if a change has to be in force within `changeBound`: the bound less the delay of
// clocks, timers and calls, but at least half of the bound. There is no reserve for a store that
// does not respond while it processes changes: operators extend the bound for that time.
// Preconditions: changeBound >= 0. Thread safety: any thread.
Millis DenialLimit(Millis changeBound);

// Classifies a configuration of `age` (nothing: there is none). `freshLimit`: the age up to which
// it is fresh. Preconditions: none. Thread safety: any thread.
Staleness ClassifyStaleness(const StalenessPolicy& policy, Millis freshLimit,
                            std::optional<Millis> age);

}  // namespace onyx
