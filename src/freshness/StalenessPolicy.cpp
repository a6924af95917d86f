#include "include/freshness/StalenessPolicy.h"

#include <algorithm>

namespace onyx {

namespace {

// Parts of a bound that a box keeps for itself, in milliseconds. The store may be silent for this
// long while it takes changes, by its operators.
constexpr Millis kMaxStoreSilenceMs = 1000;
// Clocks, timers and calls are late by no more than this.
constexpr Millis kMaxLatenessMs = 400;

// What a configuration is good for that is no longer fresh.
struct ClassifyNotFresh {
    Millis age;

    Staleness operator()(const RefuseStale&) const { return Staleness::kUnusable; }

    Staleness operator()(const ServeStale& policy) const {
        return age <= policy.maxAge ? Staleness::kStale : Staleness::kUnusable;
    }
};

}  // namespace

Millis FreshLimit(Millis keyBound) {
    return std::max<Millis>(keyBound / 2, keyBound - kMaxStoreSilenceMs - kMaxLatenessMs);
}

Staleness ClassifyStaleness(const StalenessPolicy& policy, Millis freshLimit,
                            std::optional<Millis> age) {
    if (!age) {
        return Staleness::kUnusable;
    }
    if (*age <= freshLimit) {
        return Staleness::kFresh;
    }
    return std::visit(ClassifyNotFresh{*age}, policy);
}

}  // namespace onyx
