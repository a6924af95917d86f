#include "include/admission/RoomCounts.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace onyx;

namespace {

const ClassCounts* Find(const RoomCounts& counts, const DemandClass& of) {
    const auto known = std::find_if(counts.classes.begin(), counts.classes.end(),
                                    [&](const ClassCounts& entry) { return entry.of == of; });
    return known == counts.classes.end() ? nullptr : &*known;
}

double TotalArrived(const RoomCounts& counts) {
    double total = 0;
    for (const ClassCounts& entry : counts.classes) {
        total += entry.arrived;
    }
    return total;
}

}  // namespace

TEST_CASE("Counts of two boxes are added by class and priority") {
    RoomCounts sum{1, false, 3, 1};
    sum.classes = {{{1, 7}, 4, 2}, {{5, 7}, 1, 1}};
    sum.priorities = {{1, 250, 10, 1, 600, 40}};
    RoomCounts other{2, true, 4, 2};
    other.classes = {{{1, 7}, 6, 3}, {{1, 8}, 2, 2}};
    other.priorities = {{1, 200, 30, 2, 2400, 80}, {5, 0, 1, 0, 50, 50}};
    sum.add(other);

    CHECK(sum.boxes == 3);
    CHECK(sum.pressed);
    CHECK(sum.inFlight == 7);
    CHECK(sum.declined == 3);
    REQUIRE(sum.classes.size() == 3);
    CHECK(Find(sum, {1, 7})->arrived == 10);
    CHECK(Find(sum, {1, 7})->admitted == 5);
    CHECK(Find(sum, {1, 8})->arrived == 2);
    REQUIRE(sum.priorities.size() == 2);
    CHECK(sum.priorities[0].objective == 200);
    CHECK(sum.priorities[0].finished == 40);
    CHECK(sum.priorities[0].late == 3);
    CHECK(sum.priorities[0].busyMs == 3000);
    CHECK(sum.priorities[0].firstByteMs == Approx(70));
}

TEST_CASE("A priority without an objective does not hide that of another box") {
    RoomCounts sum;
    sum.priorities = {{1, 0, 1, 0, 50, 50}};
    RoomCounts other;
    other.priorities = {{1, 200, 1, 0, 50, 50}};
    sum.add(other);
    CHECK(sum.priorities[0].objective == 200);
    sum.add(RoomCounts{1, false, 0, 0, {}, {{1, 0, 1, 0, 50, 50}}});
    CHECK(sum.priorities[0].objective == 200);
}

TEST_CASE("Classes beyond the bound are counted together, those with the fewest arrivals") {
    RoomCounts sum;
    for (uint32_t team = 1; team <= 100; ++team) {
        RoomCounts box;
        box.classes = {{{static_cast<int>(team % 2), team}, static_cast<double>(team), 1}};
        sum.add(box);
    }
    CHECK(sum.classes.size() <= RoomCounts::kMaxClasses);
    CHECK(TotalArrived(sum) == Approx(5050));
    CHECK(Find(sum, {0, 100}) != nullptr);
    CHECK(Find(sum, {1, 99}) != nullptr);
    CHECK(Find(sum, {0, 2}) == nullptr);
    REQUIRE(Find(sum, {0, 0}) != nullptr);
    REQUIRE(Find(sum, {1, 0}) != nullptr);
}

TEST_CASE("Counts stay bounded with any number of priorities") {
    RoomCounts sum;
    for (int priority = 0; priority < 100; ++priority) {
        RoomCounts box;
        box.classes = {{{priority, 1}, 1, 1}, {{priority, 2}, 1, 1}};
        box.priorities = {{priority, 200, 1, 0, 50, 50}};
        sum.add(box);
    }
    CHECK(sum.classes.size() <= RoomCounts::kMaxClasses);
    CHECK(sum.priorities.size() <= RoomCounts::kMaxPriorities);
    CHECK(TotalArrived(sum) == Approx(200));
}

TEST_CASE("A class that is not listed has the share of the other teams of its priority") {
    RoomShares shares{true, {{{1, 7}, 0.25}, {{1, 0}, 0.5}, {{5, 9}, 0}}, 500};
    CHECK(shares.fractionOf({1, 7}) == 0.25);
    CHECK(shares.fractionOf({1, 8}) == 0.5);
    CHECK(shares.fractionOf({5, 9}) == 0);
    CHECK(shares.fractionOf({5, 7}) == 1);
    shares.limited = false;
    CHECK(shares.fractionOf({1, 7}) == 1);
}
