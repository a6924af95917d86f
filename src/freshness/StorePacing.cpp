#include "include/freshness/StorePacing.h"

#include <algorithm>

namespace onyx {

namespace {

// Parts of the shorter of the two bounds. A watcher may be cut off from the store without detecting
// it. Its state is then as old as the watch that it holds (1/4 of the bound). A follower queries it
// up to one period later (1/6), so in normal operation the state of a follower reaches 0.42 of the
// bound. From 0.45 on a follower also queries other peers, which takes one or two rounds of
// queries, and at 0.6 it calls the store: a lost packet and a second try still fit into the bound.
constexpr Millis kFollowedWaitDivisor = 4;
constexpr Millis kFollowPeriodDivisor = 6;
constexpr double kPeerQueryAgeShare = 0.45;
constexpr double kMaxAgeShare = 0.6;
// Pause in which a watcher collects changes that arrive together, as in a release, at the cost of
// one call. It is short compared with the period of followers, which get the changes only then.
constexpr Millis kFollowedPauseDivisor = 16;
// Changes of upstreams may be delayed by this part of the drain bound.
constexpr Millis kChangePauseDivisor = 4;
// A bound shorter than the first leaves no time for refreshing through a watcher; one longer than
// the second is treated as the second.
constexpr Millis kMinFollowBoundMs = 600;
constexpr Millis kMaxFollowBoundMs = 4000;

// Every call of every box adds load to a failing store. A box that can serve without the store
// calls it rarely; a box that has to refuse requests because its state is too old calls it often.
constexpr Millis kMaxPauseRefusingMs = 400;
constexpr Millis kMaxPauseServingMs = 1600;
constexpr Millis kFirstPauseMs = 50;  // A lost packet should not delay a box longer.

// A watch shows a silent connection if it leaves an answer at least this time.
constexpr Millis kMinAnswerTimeMs = 150;

// What is left of a bound is divided between the answer of a watch and, if none comes, the next
// connection, the pause before it and the answer there.
Millis AnswerTimeWithin(Millis wait, Millis bound) {
    return (bound - wait) * 2 / 3;
}

// Tolerance for the network delay of a response, beyond the age that the state normally reaches.
constexpr Millis kAnswerMarginMs = 250;

bool IsWithin(std::optional<Millis> age, Millis limit) {
    return age && *age <= limit;
}

}  // namespace

FollowerBounds FitFollowers(Millis drainBound, Millis maxAge, StorePacingSettings& settings) {
    const Millis shorter = std::min(drainBound, maxAge);
    const Millis bound = std::clamp<Millis>(shorter, kMinFollowBoundMs, kMaxFollowBoundMs);
    settings.configurationBound = maxAge;
    settings.upstreamBound = drainBound;
    settings.maxChangePause = drainBound / kChangePauseDivisor;
    settings.followPeriod = bound / kFollowPeriodDivisor;
    settings.followedPause = bound / kFollowedPauseDivisor;
    settings.followedWait = bound / kFollowedWaitDivisor;
    const auto part = [&](double share) {
        return static_cast<Millis>(static_cast<double>(bound) * share);
    };
    return {part(kPeerQueryAgeShare), part(kMaxAgeShare), shorter >= kMinFollowBoundMs};
}

Millis ConfigurationWait(Millis maxAge) {
    return maxAge * 5 / 9;
}

Millis OrderWait(Millis bound) {
    return bound / 2;
}

bool ShowsSilence(Millis wait, Millis bound) {
    return AnswerTimeWithin(wait, std::max(bound, kMinFollowBoundMs)) >= kMinAnswerTimeMs;
}

Millis UpstreamWait(const StorePacingSettings& settings) {
    if (ShowsSilence(settings.configurationWait, settings.upstreamBound)) {
        return settings.upstreamWait;
    }
    const Millis fitting = ConfigurationWait(std::max(settings.upstreamBound, kMinFollowBoundMs));
    return std::min(settings.upstreamWait, fitting);
}

Millis AnswerTime(Millis wait, Millis bound, Millis timeout, Millis lateness) {
    if (!ShowsSilence(wait, bound)) {
        return timeout;
    }
    const Millis fitting = AnswerTimeWithin(wait, std::max(bound, kMinFollowBoundMs));
    return std::min(std::max(fitting, 2 * lateness), timeout);
}

Millis WatchWait(const StorePacingSettings& settings, const StorePacingInputs& inputs,
                 Millis wait) {
    return inputs.watchesForOthers ? std::min(wait, settings.followedWait) : wait;
}

// The more boxes watch, the more calls each change would cost. A box with followers delays them
// too, so it pauses only for changes in close succession.
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

// A box that relies on peers calls the store only if none of them has fresh state: an immediate
// second try would fail as well.
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
    const Millis upstreamLimit = UpstreamWait(settings) + settings.maxChangePause + kAnswerMarginMs;
    return !IsWithin(ages.configuration, settings.configurationWait + kAnswerMarginMs) ||
           !IsWithin(ages.upstreams, upstreamLimit);
}

}  // namespace onyx
