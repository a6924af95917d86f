#include "include/admission/ServiceRoom.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

constexpr RoomSupply kSupply{24, 83, 200};

// Requests of one priority, of two teams; `finished` and `arrived` per second.
RoomCounts Counts(double arrived, double finished, double tookMs, double inFlight) {
    RoomCounts counts;
    counts.boxes = 83;
    counts.pressed = true;
    counts.inFlight = inFlight;
    counts.classes = {{{1, 1}, 0.4 * arrived, 0.4 * arrived},
                      {{1, 2}, 0.6 * arrived, 0.6 * arrived}};
    counts.priorities = {{1, 250, finished, 0, finished * tookMs, tookMs}};
    return counts;
}

double Admitted(const RoomShares& shares, double arrived) {
    return arrived * (0.4 * shares.fractionOf({1, 1}) + 0.6 * shares.fractionOf({1, 2}));
}

}  // namespace

// Guards against taking requests for shorter than they are: those that finish while a queue builds
// up did not wait in it. All arrivals were admitted until the speed was measured, for 600 ms.
TEST_CASE("The first counts of a shortage limit what is admitted to what is finished") {
    RoomCounts counts = Counts(900, 350, 80, 116);
    counts.declined = 120;
    ServiceRoom room;
    const RoomShares shares = room.update(counts, kSupply, {1000});
    REQUIRE(shares.limited);
    // What 24 slots finish; what waits already is to become less.
    CHECK(Admitted(shares, 900) <= 350);
    CHECK(Admitted(shares, 900) > 0);
}

TEST_CASE("With free slots nothing is limited, whatever the boxes report") {
    ServiceRoom room;
    RoomCounts counts = Counts(200, 200, 60, 12);
    counts.priorities[0].late = 100;
    for (Millis t = 1000; t < 5000; t += 200) {
        CHECK_FALSE(room.update(counts, kSupply, {t}).limited);
    }
}

// Guards against refusals while slots are free: some upstreams turn requests away for other
// reasons.
TEST_CASE("Requests that are turned away while slots are free are no shortage") {
    ServiceRoom room;
    RoomCounts counts = Counts(200, 140, 60, 10);
    counts.declined = 60;
    for (Millis t = 1000; t < 9000; t += 200) {
        CHECK_FALSE(room.update(counts, kSupply, {t}).limited);
    }
}

// Guards against a service whose upstreams have less room than they list.
TEST_CASE(
    "A service is limited while upstreams turn most requests away, whatever slots they list") {
    ServiceRoom room;
    RoomCounts counts = Counts(300, 130, 60, 8);
    counts.declined = 170;
    CHECK(room.update(counts, kSupply, {1000}).limited);
}

// Guards against the starvation of teams beyond those that a message lists: together they got the
// share of one.
TEST_CASE("Teams that are counted together get the shares of that many teams") {
    constexpr size_t kListed = 47;
    constexpr size_t kMerged = 13;
    RoomCounts counts;
    counts.boxes = 83;
    counts.pressed = true;
    counts.inFlight = 100;
    for (uint32_t team = 1; team <= kListed; ++team) {
        counts.classes.push_back({{1, team}, 13, 13});
    }
    counts.classes.push_back({{1, 0}, 13.0 * kMerged, 13.0 * kMerged});
    counts.priorities = {{1, 250, 400, 0, 24000, 60}};
    ServiceRoom room;
    const RoomShares shares = room.update(counts, kSupply, {1000});
    REQUIRE(shares.limited);
    CHECK(shares.fractionOf({1, 0}) >= 0.9 * shares.fractionOf({1, 1}));
}

TEST_CASE("A service without slots limits nothing: no upstream would be chosen anyway") {
    ServiceRoom room;
    CHECK_FALSE(room.update(Counts(900, 0, 0, 10), {0, 83, 200}, {1000}).limited);
    CHECK_FALSE(room.update({}, kSupply, {1200}).limited);
}

// Guards against deciding by the speed of upstreams that were slow the last time that boxes
// reported.
TEST_CASE("After a silence of the boxes nothing is refused by what was seen before it") {
    ServiceRoom room;
    for (Millis t = 1000; t < 5000; t += 200) {
        room.update(Counts(300, 300, 60, 18), kSupply, {t});
    }
    // Four times slower.
    RoomShares shares;
    for (Millis t = 5000; t < 10000; t += 200) {
        shares = room.update(Counts(300, 100, 600, 60), kSupply, {t});
    }
    REQUIRE(shares.limited);
    REQUIRE(Admitted(shares, 300) < 200);
    CHECK(Admitted(room.update(Counts(300, 300, 60, 20), kSupply, {60000}), 300) == Approx(300));
}

TEST_CASE("Upstreams that finish nothing get next to nothing, and something to find out") {
    ServiceRoom room;
    RoomShares shares;
    for (Millis t = 1000; t < 5000; t += 200) {
        room.update(Counts(300, 300, 60, 18), kSupply, {t});
    }
    for (Millis t = 5000; t < 9000; t += 200) {
        shares = room.update(Counts(300, 0, 0, 120), kSupply, {t});
    }
    REQUIRE(shares.limited);
    CHECK(Admitted(shares, 300) > 0);
    CHECK(Admitted(shares, 300) < 0.1 * 300);
    CHECK(shares.retryAfter >= 300);
    CHECK(shares.retryAfter <= 10000);
}

TEST_CASE("Late answers shorten the queue, but slots stay in use") {
    ServiceRoom room;
    // Usually late even without a queue: 300 ms against an objective of 250.
    RoomShares shares;
    for (Millis t = 1000; t < 30000; t += 200) {
        RoomCounts counts = Counts(120, 80, 300, 24);
        counts.priorities[0].late = 80;
        shares = room.update(counts, kSupply, {t});
    }
    REQUIRE(shares.limited);
    CHECK(Admitted(shares, 120) >= 0.9 * 80);
}

TEST_CASE("Counts of half of the boxes get half of the room") {
    ServiceRoom whole;
    ServiceRoom half;
    RoomShares ofWhole;
    RoomShares ofHalf;
    for (Millis t = 1000; t < 5000; t += 200) {
        ofWhole = whole.update(Counts(1000, 400, 130, 52), kSupply, {t});
        RoomCounts counts = Counts(500, 200, 130, 26);
        counts.boxes = 42;
        ofHalf = half.update(counts, {24, 84, 200}, {t});
    }
    REQUIRE(ofWhole.limited);
    REQUIRE(ofHalf.limited);
    CHECK(Admitted(ofHalf, 500) == Approx(Admitted(ofWhole, 1000) / 2).epsilon(0.02));
}
