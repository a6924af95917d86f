#include "include/freshness/StoreCallPolicy.h"

#include <catch2/catch.hpp>

#include <string>

using namespace onyx;

namespace {

constexpr MonoTime kStart{10000};
constexpr Millis kFreshAgeMs = 100;
constexpr Millis kStaleAgeMs = 5000;
constexpr size_t kBoxes = 295;

// A box of a large zone, some places behind its watcher.
StoreCallInputs FollowerInputs(std::optional<Millis> age) {
    StoreCallInputs inputs;
    inputs.rank = 10;
    inputs.links = 32;
    inputs.boxes = kBoxes;
    inputs.age = age;
    return inputs;
}

void ReportFromAll(StoreCallPolicy& policy, std::optional<Millis> age, MonoTime now) {
    for (int i = 0; i < 8; ++i) {
        policy.noteReply("box-" + std::to_string(i), age, now);
    }
}

}  // namespace

TEST_CASE("A box whose knowledge is young calls the store only where it watches for others") {
    StoreCallPolicy policy(StoreCallSettings{}, kStart, 1);
    StoreCallInputs inputs = FollowerInputs(kFreshAgeMs);
    CHECK(policy.decide(inputs, kStart) == StoreCallDecision{false, StoreCallReason::kFreshAgeMs});
    inputs.inSmallZone = true;
    CHECK(policy.decide(inputs, kStart) == StoreCallDecision{true, StoreCallReason::kSmallZone});
    inputs.isWatcher = true;
    CHECK(policy.decide(inputs, kStart) == StoreCallDecision{true, StoreCallReason::kWatcher});
}

TEST_CASE("A box that just started waits for others' answers, a seed does not") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 1);
    StoreCallInputs inputs = FollowerInputs(std::nullopt);
    CHECK(policy.decide(inputs, kStart + settings.minStartWait - 1).reason ==
          StoreCallReason::kStarting);
    // Where nobody could be served, it waits for longer.
    inputs.idle = true;
    CHECK_FALSE(policy.decide(inputs, kStart + settings.maxStartWait).calls);
    CHECK(policy.decide(inputs, kStart + settings.maxStartWait * settings.idleFactor).calls);
    inputs.idle = false;
    // Others that know nothing either, after the loss of all boxes, keep it from nothing.
    ReportFromAll(policy, std::nullopt, kStart);
    CHECK(policy.decide(inputs, kStart + settings.maxStartWait) ==
          StoreCallDecision{true, StoreCallReason::kFirst});
    // Where the store answers nobody it is tried in turn after a while.
    const MonoTime later = kStart + settings.maxStartWait + settings.freeCallPeriod;
    ReportFromAll(policy, std::nullopt, later);
    CHECK(policy.decide(inputs, later).reason == StoreCallReason::kAwaitsTurn);
    inputs.isSeed = true;
    CHECK(policy.decide(inputs, kStart).calls);
    // Until all know who watches, the seeds do.
    inputs.age = kFreshAgeMs;
    CHECK(policy.decide(inputs, kStart).calls);
    inputs.discovered = true;
    CHECK_FALSE(policy.decide(inputs, kStart).calls);
}

TEST_CASE("A box that nobody answers calls the store as soon as its knowledge is old") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 1);
    CHECK_FALSE(policy.decide(FollowerInputs(settings.maxAge), kStart).calls);
    CHECK(policy.decide(FollowerInputs(settings.maxAge + 1), kStart).calls);
    StoreCallInputs cutOff = FollowerInputs(kFreshAgeMs);
    cutOff.links = 0;
    CHECK(policy.decide(cutOff, kStart) == StoreCallDecision{true, StoreCallReason::kAlone});
    // What was said long ago is no word on the store as it is now.
    ReportFromAll(policy, kStaleAgeMs, kStart);
    CHECK_FALSE(policy.decide(FollowerInputs(kStaleAgeMs), kStart).calls);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), kStart + 2000) ==
          StoreCallDecision{true, StoreCallReason::kAlone});
}

TEST_CASE("Boxes that know young things are no witnesses of trouble") {
    StoreCallPolicy policy(StoreCallSettings{}, kStart, 1);
    ReportFromAll(policy, kStaleAgeMs, kStart);
    ReportFromAll(policy, kFreshAgeMs, kStart);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), kStart).reason == StoreCallReason::kAlone);
}

TEST_CASE("The next in order try at once where the watchers know nothing young") {
    const StoreCallSettings settings;
    for (size_t rank = 0; rank < 10; ++rank) {
        StoreCallPolicy policy(settings, kStart, 7);
        ReportFromAll(policy, kStaleAgeMs, kStart);
        StoreCallInputs inputs = FollowerInputs(kStaleAgeMs);
        inputs.rank = rank;
        const bool deputy = policy.decide(inputs, kStart).reason == StoreCallReason::kDeputy;
        CHECK(deputy == (rank < settings.deputies));
    }
}

// Seen: on days when the store is down or refuses, its calls came from all boxes: 295 boxes, two
// lists each, every 0.8 to 1.6 s. Pattern: one cause, seen by all at the same moment.
// Grounds: refused calls are priced like others, and one box that gets an answer tells all others.
TEST_CASE("While the store answers nobody, the boxes of a site try in turn") {
    constexpr Millis kOutageMs = 60000;
    constexpr Millis kStepMs = 100;
    size_t tries = 0;
    size_t boxesThatTried = 0;
    for (uint64_t box = 0; box < kBoxes; ++box) {
        StoreCallPolicy policy(StoreCallSettings{}, kStart, box);
        bool tried = false;
        bool calling = false;
        for (Millis t = 0; t < kOutageMs; t += kStepMs) {
            ReportFromAll(policy, kStaleAgeMs + t, kStart + t);
            const bool calls = policy.decide(FollowerInputs(kStaleAgeMs + t), kStart + t).calls;
            tries += calls && !calling ? 1 : 0;
            calling = calls;
            tried = tried || calls;
        }
        boxesThatTried += tried ? 1 : 0;
    }
    // In all at most 25 a second, where it was 180 to 370.
    CHECK(tries <= 25 * kOutageMs / 1000);
    // And nobody gives up: each has tried within two rounds.
    CHECK(boxesThatTried == kBoxes);
}

TEST_CASE("Trouble that is over is forgotten: the next one begins with a new turn") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 3);
    ReportFromAll(policy, kStaleAgeMs, kStart);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), kStart).reason ==
          StoreCallReason::kAwaitsTurn);
    CHECK(policy.decide(FollowerInputs(kFreshAgeMs), kStart + 100).reason ==
          StoreCallReason::kFreshAgeMs);
    const MonoTime later = kStart + 100000;
    ReportFromAll(policy, kStaleAgeMs, later);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), later).reason == StoreCallReason::kAwaitsTurn);
}
