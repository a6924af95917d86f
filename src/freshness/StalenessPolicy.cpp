#include "include/freshness/StalenessPolicy.h"

#include <algorithm>

namespace onyx {

namespace {

// Reserved parts of a bound. The operators of the store state that it may not respond for this long
// while it processes changes.
constexpr Millis kMaxStoreSilenceMs = 1000;
// Greatest total delay of clocks, timers and calls.
constexpr Millis kMaxLatenessMs = 400;

// Classifies a configuration that is no longer fresh.
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

Millis DenialLimit(Millis changeBound) {
    return std::max<Millis>(changeBound / 2, changeBound - kMaxLatenessMs);
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
