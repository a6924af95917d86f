#include "include/freshness/StalenessPolicy.h"

namespace onyx {

namespace {

// What a configuration is good for that is no longer fresh.
struct BeyondFresh {
    Millis age;

    Staleness operator()(const RefuseStale&) const { return Staleness::kUnusable; }

    Staleness operator()(const ServeStale& policy) const {
        return age <= policy.mostAge ? Staleness::kStale : Staleness::kUnusable;
    }
};

}  // namespace

Staleness JudgeStaleness(const StalenessPolicy& policy, Millis freshLimit,
                         std::optional<Millis> age) {
    if (!age) {
        return Staleness::kUnusable;
    }
    if (*age <= freshLimit) {
        return Staleness::kFresh;
    }
    return std::visit(BeyondFresh{*age}, policy);
}

}  // namespace onyx
