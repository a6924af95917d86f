#include "include/freshness/StorePacing.h"

#include <algorithm>

namespace onyx {

namespace {

// Parts of the shorter one of the bounds. A watcher may be cut off from the store without knowing.
// Its knowledge is then as old as the watch that it holds (1/4), a follower asks it a period later
// (1/6) and is at 0.42 of the bound in ordinary times. From 0.45 on a follower asks other boxes
// too, which takes a round of questions or two, and at 0.6 the store: a lost packet and a second
// try still fit into the bound.
constexpr Millis kFollowedWaitDivisor = 4;
constexpr Millis kFollowPeriodDivisor = 6;
constexpr double kPeerQueryAgeShare = 0.45;
constexpr double kMaxAgeShare = 0.6;
// Changes that come together, as in a release, cost a watcher one call. Small beside the period of
// followers, who learn of them only then.
constexpr Millis kFollowedPauseDivisor = 16;
// Changes of upstreams may wait for this part of the bound.
constexpr Millis kChangePauseDivisor = 4;
constexpr Millis kMinFollowBoundMs = 600;   // A shorter bound leaves no time for a detour,
constexpr Millis kMaxFollowBoundMs = 4000;  // and a longer one is not used up.

// Every call of every box to a store in trouble is load on it. While a box can serve without the
// store it asks rarely, and often as soon as requests are refused for lack of it.
constexpr Millis kMaxPauseRefusingMs = 400;
constexpr Millis kMaxPauseServingMs = 1600;
constexpr Millis kFirstPauseMs = 50;  // A lost packet should not cost more.

// Beyond the age that the store's answers leave, for their way here.
constexpr Millis kAnswerMarginMs = 250;

bool IsWithin(std::optional<Millis> age, Millis limit) {
    return age && *age <= limit;
}

}  // namespace

FollowerBounds FitFollowers(Millis drainBound, Millis freshLimit, StorePacingSettings& settings) {
    const Millis shorter = std::min(drainBound, freshLimit);
    const Millis bound = std::clamp<Millis>(shorter, kMinFollowBoundMs, kMaxFollowBoundMs);
    settings.maxChangePause = drainBound / kChangePauseDivisor;
    settings.followPeriod = bound / kFollowPeriodDivisor;
    settings.followedPause = bound / kFollowedPauseDivisor;
    settings.followedWait = bound / kFollowedWaitDivisor;
    const auto part = [&](double share) {
        return static_cast<Millis>(static_cast<double>(bound) * share);
    };
    return {part(kPeerQueryAgeShare), part(kMaxAgeShare), shorter >= kMinFollowBoundMs};
}

Millis ConfigurationWait(Millis freshLimit) {
    return freshLimit * 5 / 9;
}

Millis EvacuationWait(Millis bound) {
    return bound / 2;
}

Millis WatchWait(const StorePacingSettings& settings, const StorePacingInputs& inputs,
                 Millis wait) {
    return inputs.watchesForOthers ? std::min(wait, settings.followedWait) : wait;
}

// The more boxes watch, the more calls each change would cost. The followers of a box wait for it
// besides, so it pauses only for what comes close together.
Millis PauseAfterChanges(const StorePacingSettings& settings, const StorePacingInputs& inputs) {
    if (inputs.watchesForOthers) {
        return settings.followedPause;
    }
    const auto boxes = static_cast<Millis>(inputs.siteBoxes);
    return std::min(settings.maxChangePause, settings.pausePerBox * boxes);
}

Millis MaxPauseAfterFailure(const StorePacingInputs& inputs) {
    return inputs.canServe ? kMaxPauseServingMs : kMaxPauseRefusingMs;
}

// A box that has others to rely on calls where all of them know nothing young: a second try at once
// would find the same.
Millis PauseAfterFailure(Millis previous, const StorePacingInputs& inputs) {
    const Millis first = inputs.reliesOnPeers ? kMaxPauseRefusingMs : kFirstPauseMs;
    return std::min(previous == 0 ? first : previous * 2, MaxPauseAfterFailure(inputs));
}

std::optional<Millis> StateAges::older() const {
    if (!configuration || !upstreams) {
        return std::nullopt;
    }
    return std::max(*configuration, *upstreams);
}

bool IsOverdue(const StorePacingSettings& settings, const StateAges& ages) {
    const Millis upstreamLimit = settings.upstreamWait + settings.maxChangePause + kAnswerMarginMs;
    return !IsWithin(ages.configuration, settings.configurationWait + kAnswerMarginMs) ||
           !IsWithin(ages.upstreams, upstreamLimit);
}

}  // namespace onyx
