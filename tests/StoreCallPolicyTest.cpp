#include "include/freshness/StoreCallPolicy.h"

#include <catch2/catch.hpp>

#include <string>

using namespace onyx;

namespace {

constexpr MonoTime kStart{10000};
constexpr Millis kYoung = 100;
constexpr Millis kOld = 5000;
constexpr size_t kBoxes = 295;

// A box of a large zone, some places behind its watcher.
StoreCallInputs Ordinary(std::optional<Millis> age) {
    StoreCallInputs facts;
    facts.rank = 10;
    facts.links = 32;
    facts.boxes = kBoxes;
    facts.age = age;
    return facts;
}

void AllSay(StoreCallPolicy& policy, std::optional<Millis> age, MonoTime now) {
    for (int i = 0; i < 8; ++i) {
        policy.noteReply("box-" + std::to_string(i), age, now);
    }
}

}  // namespace

TEST_CASE("A box whose knowledge is young calls the store only where it watches for others") {
    StoreCallPolicy policy(StoreCallSettings{}, kStart, 1);
    StoreCallInputs facts = Ordinary(kYoung);
    CHECK(policy.decide(facts, kStart) == StoreCallDecision{false, StoreCallReason::kYoung});
    facts.inSmallZone = true;
    CHECK(policy.decide(facts, kStart) == StoreCallDecision{true, StoreCallReason::kSmallZone});
    facts.isWatcher = true;
    CHECK(policy.decide(facts, kStart) == StoreCallDecision{true, StoreCallReason::kWatcher});
}

TEST_CASE("A box that just started waits for others' answers, a seed does not") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 1);
    StoreCallInputs facts = Ordinary(std::nullopt);
    CHECK(policy.decide(facts, kStart + settings.minStartWait - 1).reason ==
          StoreCallReason::kStarting);
    // Where nobody could be served, it waits for longer.
    facts.idle = true;
    CHECK_FALSE(policy.decide(facts, kStart + settings.maxStartWait).calls);
    CHECK(policy.decide(facts, kStart + settings.maxStartWait * settings.idleFactor).calls);
    facts.idle = false;
    // Others that know nothing either, after the loss of all boxes, keep it from nothing.
    AllSay(policy, std::nullopt, kStart);
    CHECK(policy.decide(facts, kStart + settings.maxStartWait) ==
          StoreCallDecision{true, StoreCallReason::kFirst});
    // Where the store answers nobody it is tried in turn after a while.
    const MonoTime later = kStart + settings.maxStartWait + settings.freeCallPeriod;
    AllSay(policy, std::nullopt, later);
    CHECK(policy.decide(facts, later).reason == StoreCallReason::kAwaitsTurn);
    facts.isSeed = true;
    CHECK(policy.decide(facts, kStart).calls);
    // Until all know who watches, the seeds do.
    facts.age = kYoung;
    CHECK(policy.decide(facts, kStart).calls);
    facts.discovered = true;
    CHECK_FALSE(policy.decide(facts, kStart).calls);
}

TEST_CASE("A box that nobody answers calls the store as soon as its knowledge is old") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 1);
    CHECK_FALSE(policy.decide(Ordinary(settings.maxAge), kStart).calls);
    CHECK(policy.decide(Ordinary(settings.maxAge + 1), kStart).calls);
    StoreCallInputs cutOff = Ordinary(kYoung);
    cutOff.links = 0;
    CHECK(policy.decide(cutOff, kStart) == StoreCallDecision{true, StoreCallReason::kAlone});
    // What was said long ago is no word on the store as it is now.
    AllSay(policy, kOld, kStart);
    CHECK_FALSE(policy.decide(Ordinary(kOld), kStart).calls);
    CHECK(policy.decide(Ordinary(kOld), kStart + 2000) ==
          StoreCallDecision{true, StoreCallReason::kAlone});
}

TEST_CASE("Boxes that know young things are no witnesses of trouble") {
    StoreCallPolicy policy(StoreCallSettings{}, kStart, 1);
    AllSay(policy, kOld, kStart);
    AllSay(policy, kYoung, kStart);
    CHECK(policy.decide(Ordinary(kOld), kStart).reason == StoreCallReason::kAlone);
}

TEST_CASE("The next in order try at once where the watchers know nothing young") {
    const StoreCallSettings settings;
    for (size_t rank = 0; rank < 10; ++rank) {
        StoreCallPolicy policy(settings, kStart, 7);
        AllSay(policy, kOld, kStart);
        StoreCallInputs facts = Ordinary(kOld);
        facts.rank = rank;
        const bool deputy = policy.decide(facts, kStart).reason == StoreCallReason::kDeputy;
        CHECK(deputy == (rank < settings.deputies));
    }
}

// Seen: on days when the store is down or refuses, its calls came from all boxes: 295 boxes, two
// lists each, every 0.8 to 1.6 s. Pattern: one cause, seen by all at the same moment.
// Grounds: refused calls are priced like others, and one box that gets an answer tells all others.
TEST_CASE("While the store answers nobody, the boxes of a site try in turn") {
    constexpr Millis kOutage = 60000;
    constexpr Millis kStep = 100;
    size_t tries = 0;
    size_t boxesThatTried = 0;
    for (uint64_t box = 0; box < kBoxes; ++box) {
        StoreCallPolicy policy(StoreCallSettings{}, kStart, box);
        bool tried = false;
        bool calling = false;
        for (Millis t = 0; t < kOutage; t += kStep) {
            AllSay(policy, kOld + t, kStart + t);
            const bool calls = policy.decide(Ordinary(kOld + t), kStart + t).calls;
            tries += calls && !calling ? 1 : 0;
            calling = calls;
            tried = tried || calls;
        }
        boxesThatTried += tried ? 1 : 0;
    }
    // In all at most 25 a second, where it was 180 to 370.
    CHECK(tries <= 25 * kOutage / 1000);
    // And nobody gives up: each has tried within two rounds.
    CHECK(boxesThatTried == kBoxes);
}

TEST_CASE("Trouble that is over is forgotten: the next one begins with a new turn") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 3);
    AllSay(policy, kOld, kStart);
    CHECK(policy.decide(Ordinary(kOld), kStart).reason == StoreCallReason::kAwaitsTurn);
    CHECK(policy.decide(Ordinary(kYoung), kStart + 100).reason == StoreCallReason::kYoung);
    const MonoTime later = kStart + 100000;
    AllSay(policy, kOld, later);
    CHECK(policy.decide(Ordinary(kOld), later).reason == StoreCallReason::kAwaitsTurn);
}
