// Explores the owners' state machines under faults: all placements of up to two faults, and long
// random walks with many. With one of the rules taken out, it must find what the rule is for.
#include "modules/standalone/tests/KeyWorld.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <random>
#include <unordered_set>

using namespace onyx;

namespace {

constexpr int kWarmUp = 8;  // Steps until the first roster stands.
constexpr auto kFaults = static_cast<int>(KeyWorld::Fault::kCount);

struct Explored {
    size_t runs = 0;
    size_t steps = 0;
    size_t executions = 0;
    std::unordered_set<uint64_t> states;
    std::string broken;
};

// All placements of `faults` further faults in `world`, each followed to step `end`.
void Explore(const KeyWorld& world, int step, int end, int stride, int faults, size_t boxes,
             Explored& explored) {
    KeyWorld walk = world;
    for (int at = step; at < end && explored.broken.empty(); ++at) {
        if (faults > 0 && (at - step) % stride == 0) {
            for (int fault = 0; fault < kFaults; ++fault) {
                for (size_t box = 0; box < boxes; ++box) {
                    KeyWorld branch = walk;
                    branch.inject(static_cast<KeyWorld::Fault>(fault), box);
                    Explore(branch, at, end, stride, faults - 1, boxes, explored);
                }
            }
        }
        walk.step();
        ++explored.steps;
        explored.states.insert(walk.fingerprint());
        if (!walk.broken().empty()) {
            explored.broken = walk.broken();
        }
    }
    ++explored.runs;
    explored.executions += walk.executions();
}

Explored ExploreAll(size_t boxes, int end, int stride, int faults, const KeeperSettings& settings) {
    KeyWorld world(boxes, settings);
    for (int i = 0; i < kWarmUp; ++i) {
        world.step();
    }
    Explored explored;
    Explore(world, kWarmUp, end, stride, faults, boxes, explored);
    return explored;
}

struct Walks {
    size_t executions = 0;
    size_t unknowns = 0;
    size_t epochs = 0;
    size_t brokenWalks = 0;
    std::string firstBroken;
};

Walks WalkRandomly(int walks, int steps, const KeeperSettings& settings) {
    Walks result;
    for (int seed = 0; seed < walks; ++seed) {
        std::mt19937_64 random(static_cast<uint64_t>(seed));
        KeyWorld world(3, settings);
        for (int step = 0; step < steps && world.broken().empty(); ++step) {
            if (step > kWarmUp && random() % 5 == 0) {
                const auto fault = static_cast<KeyWorld::Fault>(random() % kFaults);
                world.inject(fault, random() % 3);
            }
            world.step();
        }
        result.executions += world.executions();
        result.unknowns += world.unknowns();
        result.epochs += world.epochs();
        if (!world.broken().empty()) {
            ++result.brokenWalks;
            if (result.firstBroken.empty()) {
                result.firstBroken = "seed " + std::to_string(seed) + ": " + world.broken();
            }
        }
    }
    return result;
}

}  // namespace

TEST_CASE("Without faults every key runs exactly once") {
    KeyWorld world(3, KeyWorld::settings());
    for (int i = 0; i < 60; ++i) {
        world.step();
    }
    CHECK(world.broken().empty());
    CHECK(world.executions() >= 50);
}

TEST_CASE("No key runs twice, whatever one fault happens when") {
    for (const size_t boxes : {size_t{2}, size_t{3}}) {
        const Explored explored = ExploreAll(boxes, 60, 1, 1, KeyWorld::settings());
        std::printf("explored %zu boxes, one fault: %zu runs, %zu steps, %zu states\n", boxes,
                    explored.runs, explored.steps, explored.states.size());
        CHECK(explored.broken == "");
        CHECK(explored.executions > 0);
    }
}

TEST_CASE("No key runs twice, whatever two faults happen when") {
    const Explored two = ExploreAll(2, 44, 4, 2, KeyWorld::settings());
    std::printf("explored 2 boxes, two faults: %zu runs, %zu steps, %zu states\n", two.runs,
                two.steps, two.states.size());
    CHECK(two.broken == "");
    const Explored three = ExploreAll(3, 40, 8, 2, KeyWorld::settings());
    std::printf("explored 3 boxes, two faults: %zu runs, %zu steps, %zu states\n", three.runs,
                three.steps, three.states.size());
    CHECK(three.broken == "");
}

TEST_CASE("No key runs twice in long walks with many faults") {
    const Walks walks = WalkRandomly(300, 160, KeyWorld::settings());
    std::printf("walked: %zu executions, %zu epochs, %zu answers unknown\n", walks.executions,
                walks.epochs, walks.unknowns);
    CHECK(walks.firstBroken == "");
    CHECK(walks.epochs > 300);
}

// Not part of the normal run: `onyx-tests "[long]"` takes some minutes.
TEST_CASE("No key runs twice in very many walks", "[.][long]") {
    const Walks walks = WalkRandomly(20000, 160, KeyWorld::settings());
    std::printf("walked: %zu executions, %zu epochs, %zu answers unknown\n", walks.executions,
                walks.epochs, walks.unknowns);
    CHECK(walks.firstBroken == "");
}

TEST_CASE("Each rule is needed: without it the walks find a double run") {
    KeeperSettings settings = KeyWorld::settings();
    SECTION("mint") {
        settings.rules.mint = false;
        CHECK(WalkRandomly(300, 160, settings).brokenWalks > 0);
    }
    SECTION("lease") {
        settings.rules.lease = false;
        CHECK(WalkRandomly(300, 160, settings).brokenWalks > 0);
    }
    SECTION("consent") {
        settings.rules.consent = false;
        CHECK(WalkRandomly(300, 160, settings).brokenWalks > 0);
    }
    SECTION("revoke") {
        settings.rules.revoke = false;
        CHECK(WalkRandomly(300, 160, settings).brokenWalks > 0);
    }
}
