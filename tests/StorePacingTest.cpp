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

namespace {

// Until a watch is sent again whose connection went silent just after it was sent.
Millis SilenceShown(Millis wait, Millis bound, Millis timeout) {
    return wait + AnswerTime(wait, bound, timeout, 0) + PauseAfterFailure(0, StorePacingInputs{});
}

}  // namespace

// Guards against a watch whose wait and time-out together are longer than the bound on what it
// watches.
TEST_CASE("A watch that shows silence is sent again within its bound, whatever the settings") {
    const Millis bound = GENERATE(600, 1000, 1600, 2000, 3000, 5000, 20000);
    const Millis timeout = GENERATE(300, 1500, 60000);
    CAPTURE(bound, timeout);
    for (const Millis wait : {ConfigurationWait(bound), OrderWait(bound)}) {
        CHECK(ShowsSilence(wait, bound));
        CHECK(SilenceShown(wait, bound, timeout) + kMinWatchWaitMs < bound);
    }
}

TEST_CASE("The list of upstreams is watched so that silence is shown within its bound") {
    const Millis bound = GENERATE(0, 600, 1000, 2000, 4000);
    const Millis maxAge = GENERATE(700, 1600, 3600);
    const Millis wait = GENERATE(10, 4000, 30000);
    CAPTURE(bound, maxAge, wait);
    StorePacingSettings settings;
    FitFollowers(bound, maxAge, settings);
    settings.configurationWait = ConfigurationWait(maxAge);
    settings.upstreamWait = wait;
    CHECK(UpstreamWait(settings) <= wait);
    const bool ownShows = ShowsSilence(UpstreamWait(settings), bound);
    CHECK((ownShows || ShowsSilence(settings.configurationWait, bound)));
    CHECK(ShowsSilence(settings.followedWait, bound));
}

// Guards against more calls to a store that is slow.
TEST_CASE("A slow store is given more time for its answers, up to the setting") {
    constexpr Millis kTimeout = 1500;
    const Millis usual = AnswerTime(1000, 2000, kTimeout, 0);
    CHECK(usual < kTimeout);
    CHECK(AnswerTime(1000, 2000, kTimeout, usual / 4) == usual);
    CHECK(AnswerTime(1000, 2000, kTimeout, usual) == 2 * usual);
    CHECK(AnswerTime(1000, 2000, kTimeout, kTimeout) == kTimeout);
    CHECK(AnswerTime(4000, 2000, kTimeout, 0) == kTimeout);
}
