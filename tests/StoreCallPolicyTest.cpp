#include "include/freshness/StoreCallPolicy.h"

#include <catch2/catch.hpp>

#include <string>

using namespace onyx;

namespace {

constexpr MonoTime kStart{10000};
constexpr Millis kFreshAgeMs = 100;
constexpr Millis kStaleAgeMs = 5000;
constexpr size_t kBoxes = 295;

// Inputs of a box of a large zone, some ranks after its watcher.
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

TEST_CASE("A box with fresh state calls the store only if it is a watcher or its zone is small") {
    StoreCallPolicy policy(StoreCallSettings{}, kStart, 1);
    StoreCallInputs inputs = FollowerInputs(kFreshAgeMs);
    CHECK(policy.decide(inputs, kStart) == StoreCallDecision{false, StoreCallReason::kYoung});
    inputs.inSmallZone = true;
    CHECK(policy.decide(inputs, kStart) == StoreCallDecision{true, StoreCallReason::kSmallZone});
    inputs.isWatcher = true;
    CHECK(policy.decide(inputs, kStart) == StoreCallDecision{true, StoreCallReason::kWatcher});
}

TEST_CASE("A box that just started waits for replies of its peers, a seed does not") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 1);
    StoreCallInputs inputs = FollowerInputs(std::nullopt);
    CHECK(policy.decide(inputs, kStart + settings.minStartWait - 1).reason ==
          StoreCallReason::kStarting);
    // It waits longer while no request could be served.
    inputs.idle = true;
    CHECK_FALSE(policy.decide(inputs, kStart + settings.maxStartWait).calls);
    CHECK(policy.decide(inputs, kStart + settings.maxStartWait * settings.idleFactor).calls);
    inputs.idle = false;
    // Peers without state, after a restart of all boxes, do not delay its calls.
    ReportFromAll(policy, std::nullopt, kStart);
    CHECK(policy.decide(inputs, kStart + settings.maxStartWait) ==
          StoreCallDecision{true, StoreCallReason::kFirst});
    // If the store responds to no box, boxes call it in turn after a while.
    const MonoTime later = kStart + settings.maxStartWait + settings.freeCallPeriod;
    ReportFromAll(policy, std::nullopt, later);
    CHECK(policy.decide(inputs, later).reason == StoreCallReason::kAwaitsTurn);
    inputs.isSeed = true;
    CHECK(policy.decide(inputs, kStart).calls);
    // Until all boxes have discovered the watchers, the seeds call the store.
    inputs.age = kFreshAgeMs;
    CHECK(policy.decide(inputs, kStart).calls);
    inputs.discovered = true;
    CHECK_FALSE(policy.decide(inputs, kStart).calls);
}

TEST_CASE("A box without replies calls the store as soon as its state is too old") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 1);
    CHECK_FALSE(policy.decide(FollowerInputs(settings.maxAge), kStart).calls);
    CHECK(policy.decide(FollowerInputs(settings.maxAge + 1), kStart).calls);
    StoreCallInputs cutOff = FollowerInputs(kFreshAgeMs);
    cutOff.links = 0;
    CHECK(policy.decide(cutOff, kStart) == StoreCallDecision{true, StoreCallReason::kAlone});
    // An old report does not show that the store fails now.
    ReportFromAll(policy, kStaleAgeMs, kStart);
    CHECK_FALSE(policy.decide(FollowerInputs(kStaleAgeMs), kStart).calls);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), kStart + 2000) ==
          StoreCallDecision{true, StoreCallReason::kAlone});
}

TEST_CASE("Peers with fresh state do not count as reports of a failing store") {
    StoreCallPolicy policy(StoreCallSettings{}, kStart, 1);
    ReportFromAll(policy, kStaleAgeMs, kStart);
    ReportFromAll(policy, kFreshAgeMs, kStart);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), kStart).reason == StoreCallReason::kAlone);
}

TEST_CASE("The next boxes in order call at once if the watchers have no fresh state") {
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

// Guards against a failure on days when the store is down or refuses: all 295 boxes called it, for
// two lists each, every 0.8 to 1.6 s, since all detect one cause at the same moment. Refused calls
// cost as much as others, and one box that gets a response forwards it to all others.
TEST_CASE("While the store responds to no box, the boxes of a site call it in turn") {
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
    // At most 25 calls per second in all; it was 180 to 370.
    CHECK(tries <= 25 * kOutageMs / 1000);
    // No box stops trying: each has tried within two rounds.
    CHECK(boxesThatTried == kBoxes);
}

TEST_CASE("After the store recovered, its next failure begins with a new turn") {
    const StoreCallSettings settings;
    StoreCallPolicy policy(settings, kStart, 3);
    ReportFromAll(policy, kStaleAgeMs, kStart);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), kStart).reason ==
          StoreCallReason::kAwaitsTurn);
    CHECK(policy.decide(FollowerInputs(kFreshAgeMs), kStart + 100).reason ==
          StoreCallReason::kYoung);
    const MonoTime later = kStart + 100000;
    ReportFromAll(policy, kStaleAgeMs, later);
    CHECK(policy.decide(FollowerInputs(kStaleAgeMs), later).reason == StoreCallReason::kAwaitsTurn);
}
