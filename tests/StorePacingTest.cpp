#include "include/freshness/StorePacing.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("A box that others follow holds short watches and pauses briefly") {
    const StorePacingSettings settings;
    const StorePacingFacts followed{true, false, true, 85};
    const StorePacingFacts alone{false, false, true, 85};
    CHECK(HeldWait(settings, followed, settings.upstreamWait) == settings.followedWait);
    CHECK(HeldWait(settings, alone, settings.upstreamWait) == settings.upstreamWait);
    CHECK(HeldWait(settings, followed, 100) == 100);
    CHECK(PauseAfterChanges(settings, followed) == settings.followedPause);
    CHECK(PauseAfterChanges(settings, alone) == settings.maxChangePause);
    CHECK(PauseAfterChanges(settings, {false, false, true, 7}) == 7 * settings.pausePerBox);
}

TEST_CASE("A box that may follow another soon pauses after its list") {
    const StorePacingSettings settings;
    CHECK(PauseAfterList(settings, {false, false, false, 1}) == settings.listPause);
    CHECK(PauseAfterList(settings, {false, true, false, 7}) == 0);
    CHECK(PauseAfterList(settings, {true, false, false, 85}) == 0);
}

TEST_CASE("A failing store is asked rarely by a box that can serve, and never less than doubled") {
    const Millis relaxed = MaxPauseAfterFailure({false, false, true, 7});
    const Millis urgent = MaxPauseAfterFailure({false, false, false, 7});
    CHECK(urgent < relaxed);
    Millis pause = 0;
    for (int failures = 0; failures < 10; ++failures) {
        const Millis next = PauseAfterFailure(pause, relaxed);
        CHECK(next >= pause);
        CHECK(next <= relaxed);
        pause = next;
    }
    CHECK(pause == relaxed);
    CHECK(PauseAfterFailure(pause, urgent) == urgent);
}

TEST_CASE(
    "Others are asked as soon as one of the two lists is older than the store would leave it") {
    const StorePacingSettings settings;
    CHECK_FALSE(IsOverdue(settings, {settings.configurationWait, settings.upstreamWait}));
    CHECK(IsOverdue(settings, {settings.configurationWait * 2, settings.upstreamWait}));
    CHECK(IsOverdue(settings, {settings.configurationWait, settings.upstreamWait * 2}));
    CHECK(IsOverdue(settings, {std::nullopt, settings.upstreamWait}));
    CHECK(KnownAges{100, 200}.older() == Millis{200});
    CHECK_FALSE(KnownAges{100, std::nullopt}.older().has_value());
}
