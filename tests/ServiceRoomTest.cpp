#include "include/admission/ServiceRoom.h"

#include <catch2/catch.hpp>

using namespace onyx;

// Guards against taking requests for shorter than they are: those that finish while a queue builds
// up did not wait in it. All arrivals were admitted until the speed was measured, for 600 ms.
TEST_CASE("The first counts of a shortage limit what is admitted to what is finished") {
    RoomCounts counts;
    counts.boxes = 83;
    counts.pressed = true;
    counts.inFlight = 116;
    counts.declined = 120;
    counts.classes = {{{1, 1}, 400, 400}, {{1, 2}, 500, 500}};
    counts.priorities = {{1, 250, 350, 10, 350.0 * 80, 80}};
    ServiceRoom room;
    const RoomShares shares = room.update(counts, {24, 83}, {1000});
    REQUIRE(shares.limited);
    const double admitted = 400 * shares.fractionOf({1, 1}) + 500 * shares.fractionOf({1, 2});
    // What 24 slots finish; what waits already is to become less.
    CHECK(admitted <= 350);
    CHECK(admitted > 0);
}
