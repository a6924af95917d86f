// Replays a burst of demand at a site whose boxes exchange nothing: each decides by what it sees
// itself. The load: four upstreams of six slots and 24 waiting places, requests of 60 ms, of twelve
// teams; for nine seconds 2.6 times the usual demand, of one team 8 times that.
#include "tests/RoomReplay.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

// In milliseconds.
constexpr Millis kBurst = 6000;
constexpr Millis kBurstEnd = 15000;
constexpr Millis kEnd = 24000;

ReplayTally Play(size_t boxes, bool isAdmitting) {
    RoomReplay replay(boxes, {}, EqualTeams(12, ReplayLoad{{5, 0}, 20}), 11);
    replay.play(kEnd, BurstOf(kBurst, kBurstEnd, 2.6, {5, 1}, 8),
                [&](std::vector<RoomGate>& gates, MonoTime now) {
                    for (RoomGate& gate : gates) {
                        if (!isAdmitting) {
                            gate.setShares({}, now);
                        }
                    }
                });
    if (isAdmitting) {
        CHECK(ReplayTally(replay, 2000, kBurst).refused == 0);
    }
    return {replay, kBurst, kBurstEnd};
}

}  // namespace

// The least that a box alone has to reach: upstreams turn away less than half of what they do
// without a decision, more is answered in time, and no team is treated much worse than its equals.
TEST_CASE("Boxes that decide alone keep part of the burst from the upstreams") {
    const size_t boxes = GENERATE(6, 83, 295, 985);
    const ReplayTally without = Play(boxes, false);
    const ReplayTally tally = Play(boxes, true);
    const double room = ReplayUpstreams{}.allSlots() * (kBurstEnd - kBurst) / 1000;
    INFO(boxes << " boxes: " << tally.describe(room, EqualClasses(2, 12)));
    INFO("without: " << without.describe(room, EqualClasses(2, 12)));
    CHECK(tally.turnedAwayPart() < 0.5 * without.turnedAwayPart());
    CHECK(tally.inTimeWork > without.inTimeWork);
    CHECK(tally.jain(EqualClasses(2, 12)) >= 0.9);
}
