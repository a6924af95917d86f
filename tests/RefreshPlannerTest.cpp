#include "include/freshness/RefreshPlanner.h"

#include "tests/RefreshSimulation.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace onyx;

// Who calls the store on a site of many boxes, and how old their knowledge gets meanwhile. The aim:
// calls grow with the zones and with what happens, not with the boxes; below 1,200 on a quiet day
// of 48 s and 4,000 on one with trouble, at 295 boxes. The bounds on knowledge hold meanwhile.

namespace {

constexpr Millis kDayMs = 48000;
constexpr Millis kMaxAgeMs = 3600;  // The shorter one: a configuration is fresh up to it.
constexpr Millis kSettlingTimeMs = 10000;

std::vector<size_t> AllOf(size_t boxes) {
    std::vector<size_t> all(boxes);
    std::iota(all.begin(), all.end(), size_t{0});
    return all;
}

}  // namespace

TEST_CASE("A quiet day's calls grow with the zones, not with the boxes") {
    const size_t boxes = GENERATE(90, 295, 340);
    RefreshSimulation site({boxes, 5, 4000, 3600}, 1);
    site.run(3000);
    CHECK(site.olderThan(kMaxAgeMs) == 0);
    site.takeMaxAge();
    site.run(kDayMs - 3000);
    CHECK(site.calls() + site.copyReads() / 10 <= 1200);
    CHECK(site.takeMaxAge() <= kMaxAgeMs);
}

TEST_CASE("Every box that starts is served by its neighbours, at once or by its own call") {
    RefreshSimulation site({295, 5, 4000, 3600}, 2);
    site.run(kSettlingTimeMs);
    const size_t before = site.calls();
    std::vector<size_t> third;
    for (size_t i = 0; i < 295; i += 3) {
        third.push_back(i);
    }
    site.kill(third, 1000);
    site.run(3000);
    CHECK(site.olderThan(kMaxAgeMs) == 0);
    CHECK(site.calls() - before <= 300);
}

// Pattern: all boxes lose power at the same moment while callers go on calling.
// Grounds: a box that waits for others that know nothing refuses meanwhile; two calls are worth
// less than the requests of a second.
TEST_CASE("All boxes killed at once know enough again within half a second of their start") {
    RefreshSimulation site({295, 5, 4000, 3600}, 3);
    site.run(kSettlingTimeMs);
    const size_t before = site.calls();
    site.kill(AllOf(295), 1000);
    site.run(1000 + 500);
    CHECK(site.olderThan(kMaxAgeMs) == 0);
    // At most two calls of each box, and those of the watchers.
    CHECK(site.calls() - before <= 2 * 295 + 100);
}

// Pattern: a watcher dies, and all who asked it called the store by themselves for ten seconds.
TEST_CASE("The loss of all watchers at once makes no box's knowledge old, and few calls") {
    RefreshSimulation site({295, 5, 4000, 3600}, 4);
    site.run(kSettlingTimeMs);
    const std::vector<size_t> watchers = site.watchers();
    CHECK(watchers.size() >= 5);
    site.takeMaxAge();
    const size_t before = site.calls();
    site.kill(watchers, 5000);
    site.run(10000);
    CHECK(site.takeMaxAge() <= kMaxAgeMs);
    CHECK(site.calls() - before <= 600);
}

// Pattern: the store turns a share of the boxes away, the watchers first, and serves the others.
TEST_CASE("Boxes that the store turns away are kept young by those that it serves") {
    RefreshSimulation site({295, 5, 4000, 3600}, 5);
    site.run(kSettlingTimeMs);
    const std::vector<size_t> watchers = site.watchers();
    site.takeMaxAge();
    const size_t before = site.calls();
    site.refuse([&](size_t i) {
        return i % 3 == 0 || std::find(watchers.begin(), watchers.end(), i) != watchers.end();
    });
    site.run(kSettlingTimeMs);
    CHECK(site.takeMaxAge() <= kMaxAgeMs);
    CHECK(site.calls() - before <= 1000);
}

TEST_CASE("A store that is down is tried by a few boxes at a time, and its return reaches all") {
    RefreshSimulation site({295, 5, 4000, 3600}, 6);
    site.run(kSettlingTimeMs);
    const size_t before = site.calls();
    site.refuse([](size_t) { return true; });
    site.run(8000);
    CHECK(site.calls() - before <= 1500);
    CHECK(site.olderThan(kMaxAgeMs) == 295);
    site.refuseNone();
    site.run(2500);
    CHECK(site.olderThan(kMaxAgeMs) == 0);
    const size_t after = site.calls();
    site.run(5000);
    CHECK(site.calls() - after <= 300);
}

TEST_CASE("A zone whose boxes lose the store is kept young by the other zones") {
    RefreshSimulation site({295, 5, 4000, 3600}, 7);
    site.run(kSettlingTimeMs);
    site.takeMaxAge();
    const size_t before = site.calls();
    site.refuse([&](size_t i) { return site.zoneOf(i) == 2; });
    site.run(kSettlingTimeMs);
    CHECK(site.takeMaxAge() <= kMaxAgeMs);
    CHECK(site.calls() - before <= 1000);
}

TEST_CASE("In zones of few boxes each watches, and none waits for others when it starts") {
    RefreshSimulation site({7, 3, 2000, 3600}, 8);
    site.run(2000);
    CHECK(site.olderThan(kMaxAgeMs) == 0);
    const size_t before = site.calls();
    site.run(10000);
    CHECK(site.calls() - before >= 7 * 5);
    CHECK(site.takeMaxAge() <= 4600);
}
