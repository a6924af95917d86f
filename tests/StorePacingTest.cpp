#include "include/freshness/StorePacing.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace onyx;

TEST_CASE("A box with followers holds short watches and makes short pauses") {
    const StorePacingSettings settings;
    const StorePacingInputs followed{true, false, true, 85};
    const StorePacingInputs alone{false, false, true, 85};
    CHECK(WatchWait(settings, followed, settings.upstreamWait) == settings.followedWait);
    CHECK(WatchWait(settings, alone, settings.upstreamWait) == settings.upstreamWait);
    CHECK(WatchWait(settings, followed, 100) == 100);
    CHECK(PauseAfterChanges(settings, followed) == settings.followedPause);
    CHECK(PauseAfterChanges(settings, alone) == settings.maxChangePause);
    CHECK(PauseAfterChanges(settings, {false, false, true, 7}) == 7 * settings.pausePerBox);
}

TEST_CASE("Refreshing through a watcher fits into the shorter of any two bounds") {
    constexpr Millis kStepPeriodMs = 100;  // How often a box decides whether to call.
    for (const Millis drainBound : {600, 1000, 2000, 3000, 4000, 20000}) {
        for (const Millis freshLimit : {700, 2000, 3600}) {
            StorePacingSettings settings;
            const FollowerBounds bounds = FitFollowers(drainBound, freshLimit, settings);
            const Millis bound = std::min(drainBound, freshLimit);
            CHECK(bounds.leavesTime);
            // In normal operation a follower queries no other peer.
            CHECK(settings.followedWait + settings.followPeriod < bounds.peerQueryAge);
            CHECK(bounds.peerQueryAge < bounds.maxAge);
            CHECK(bounds.maxAge + kStepPeriodMs < bound);
        }
    }
    StorePacingSettings settings;
    CHECK_FALSE(FitFollowers(4000, 500, settings).leavesTime);
    CHECK_FALSE(FitFollowers(500, 4000, settings).leavesTime);
}

TEST_CASE("A box that can serve calls a failing store rarely, and its pauses never get shorter") {
    const StorePacingInputs serving{false, false, true, 7};
    const StorePacingInputs refusing{false, false, false, 7};
    const Millis relaxed = MaxPauseAfterFailure(serving);
    const Millis urgent = MaxPauseAfterFailure(refusing);
    CHECK(urgent < relaxed);
    Millis pause = 0;
    for (int failures = 0; failures < 10; ++failures) {
        const Millis next = PauseAfterFailure(pause, serving);
        CHECK(next >= pause);
        CHECK(next <= relaxed);
        pause = next;
    }
    CHECK(pause == relaxed);
    CHECK(PauseAfterFailure(pause, refusing) == urgent);
    // If no peer has fresh state, an immediate second try would fail as well.
    CHECK(PauseAfterFailure(0, {false, true, true, 295}) >= urgent);
    CHECK(PauseAfterFailure(0, serving) < urgent);
}

TEST_CASE(
    "The store is overdue as soon as one of the two lists is older than its responses leave it") {
    const StorePacingSettings settings;
    CHECK_FALSE(IsOverdue(settings, {settings.configurationWait, settings.upstreamWait}));
    CHECK(IsOverdue(settings, {settings.configurationWait * 2, settings.upstreamWait}));
    CHECK(IsOverdue(settings, {settings.configurationWait, settings.upstreamWait * 2}));
    CHECK(IsOverdue(settings, {std::nullopt, settings.upstreamWait}));
    CHECK(StateAges{100, 200}.older() == Millis{200});
    CHECK_FALSE(StateAges{100, std::nullopt}.older().has_value());
}
