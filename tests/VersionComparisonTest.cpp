#include "include/rollout/AnswerQuality.h"
#include "include/rollout/CanaryShare.h"
#include "include/rollout/VersionCensus.h"
#include "include/rollout/VersionComparison.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

constexpr MonoTime kStart{100000};

// Answers of the new version's upstreams 1 to `upstreams`, alike on each.
VersionTally Tally(uint32_t upstreams, AnswerCounts each, AnswerCounts base) {
    VersionTally tally;
    for (uint32_t upstream = 1; upstream <= upstreams; ++upstream) {
        tally.target[{"look", upstream}] = each;
    }
    tally.base["look"] = base;
    return tally;
}

VersionVerdict VerdictOf(const VersionTally& tally) {
    return CompareVersions(tally, tally, 8);
}

Upstream MakeUpstream(const std::string& id, const std::string& version, int64_t started) {
    Upstream upstream;
    upstream.id = id;
    upstream.service = ServiceId("plain");
    upstream.version = version;
    upstream.startedMs = started;
    return upstream;
}

}  // namespace

TEST_CASE("A version whose answers are as good as those in service is good") {
    CHECK(VerdictOf(Tally(4, {10, 0}, {500, 0})) == VersionVerdict::kGood);
    CHECK(VerdictOf(Tally(4, {9, 1}, {450, 50})) == VersionVerdict::kGood);
    CHECK(VerdictOf(Tally(4, {0, 0}, {500, 0})) == VersionVerdict::kUndecided);
}

TEST_CASE("A version that fails part of its answers is bad") {
    CHECK(VerdictOf(Tally(4, {6, 4}, {500, 0})) == VersionVerdict::kBad);
    CHECK(VerdictOf(Tally(8, {40, 8}, {3000, 30})) == VersionVerdict::kBad);
}

// Guards against a rollback of a good version on a day on which both versions fail.
TEST_CASE("Failures that both versions have are no evidence against the new one") {
    CHECK(VerdictOf(Tally(4, {6, 4}, {300, 200})) == VersionVerdict::kGood);
    VersionTally all = Tally(4, {50, 4}, {1000, 40});
    VersionTally recent = Tally(4, {5, 4}, {60, 40});  // The fault has just begun.
    CHECK(CompareVersions(all, recent, 8) == VersionVerdict::kGood);
}

// Guards against a rollback of a good version because one of its upstreams is faulty.
TEST_CASE("One faulty upstream does not make its version bad") {
    VersionTally tally = Tally(4, {10, 0}, {500, 0});
    tally.target[{"look", 2}] = {2, 12};
    CHECK(VerdictOf(tally) == VersionVerdict::kGood);
}

// Guards against a verdict on the first upstream that has answers, which may be the faulty one.
TEST_CASE("A version of several upstreams is not judged by the answers of one") {
    VersionTally tally = Tally(1, {3, 6}, {500, 0});
    CHECK(CompareVersions(tally, tally, 4) != VersionVerdict::kBad);
    CHECK(CompareVersions(tally, tally, 1) == VersionVerdict::kBad);
}

// Guards against a fault that is hidden by the good answers on other routes.
TEST_CASE("A version that is bad on one route only is bad") {
    VersionTally tally = Tally(4, {100, 0}, {3000, 0});
    for (uint32_t upstream = 1; upstream <= 4; ++upstream) {
        tally.target[{"pay", upstream}] = {3, 2};
    }
    tally.base["pay"] = {200, 0};
    CHECK(VerdictOf(tally) == VersionVerdict::kBad);
}

// Guards against a fault that is hidden by the good answers from before it began.
TEST_CASE("A version that has become bad is found by its recent answers") {
    const VersionTally before = Tally(4, {400, 0}, {9000, 0});
    const VersionTally now = Tally(4, {410, 4}, {9500, 0});
    CHECK(CompareVersions(now, now.since(before), 8) == VersionVerdict::kBad);
}

TEST_CASE("The answers of several boxes are pooled") {
    VersionTally pooled = Tally(4, {2, 1}, {100, 0});
    CHECK(VerdictOf(pooled) != VersionVerdict::kBad);
    pooled.add(Tally(4, {2, 1}, {100, 0}));
    pooled.add(Tally(4, {2, 1}, {100, 0}));
    CHECK(VerdictOf(pooled) == VersionVerdict::kBad);
    CHECK(pooled.targetSum() == AnswerCounts{24, 12});
}

TEST_CASE("An answer is bad if it failed or came several times later than usual") {
    CHECK(IsBadAnswer(AttemptEnd::kFailed, 10, 10.0) == true);
    CHECK(IsBadAnswer(AttemptEnd::kAnswered, 200, 50.0) == true);
    CHECK(IsBadAnswer(AttemptEnd::kAnswered, 100, 50.0) == false);
    CHECK(IsBadAnswer(AttemptEnd::kAnswered, std::nullopt, 50.0) == false);
    CHECK(IsBadAnswer(AttemptEnd::kAnswered, 200, std::nullopt) == false);
    CHECK_FALSE(IsBadAnswer(AttemptEnd::kNotSent, 10, 10.0));
    CHECK_FALSE(IsBadAnswer(AttemptEnd::kMisdirected, 10, 10.0));
}

TEST_CASE("The usual time of a route follows its answers, not single slow ones") {
    LatencyReference reference;
    CHECK_FALSE(reference.usual("look"));
    for (int i = 0; i < 200; ++i) {
        reference.record("look", i % 10 == 0 ? 900 : 40);
    }
    CHECK(*reference.usual("look") < 60);
    CHECK(*reference.usual("look") > 25);
}

TEST_CASE("A box sends a version on trial a part of the limit, and the same prompts on every box") {
    CanaryShare share(0.1, 0.5);
    CanaryShare other(0.1, 0.5);
    for (uint64_t prompt = 0; prompt < 5000; ++prompt) {
        const bool admitted = share.admits("v2", HashPair(prompt, 1));
        CHECK(admitted == other.admits("v2", HashPair(prompt, 1)));
        share.record(admitted);
        other.record(admitted);
    }
    CHECK(share.exposures() <= 0.1 * 5000);
    CHECK(share.exposures() > 0.05 * 5000);
}

// Guards against a popular prompt that takes the exposures over the limit.
TEST_CASE("The requests for one prompt do not exceed the share either") {
    uint64_t prompt = 0;
    while (!CanaryShare(0.1, 1).admits("v2", prompt)) {
        ++prompt;
    }
    CanaryShare share(0.1, 0.5);
    for (int i = 0; i < 1000; ++i) {
        share.record(share.admits("v2", prompt));
    }
    CHECK(share.exposures() <= 100);
}

// Guards against requests to a new version that is listed before its order is known.
TEST_CASE("A version that appears waits for orders from after its appearance") {
    UpstreamTable table;
    table.put(MakeUpstream("a", "v1", 1000), kStart, 1);
    VersionCensus census;
    census.update(table, kStart);
    const ServiceId service("plain");
    CHECK(census.heldBack(service, 100, kStart).empty());
    table.put(MakeUpstream("b", "v2", 9000), kStart + 500, 2);
    census.update(table, kStart + 500);
    CHECK(census.heldBack(service, 100, kStart + 500) == std::set<std::string>{"v2"});
    CHECK(census.heldBack(service, std::nullopt, kStart + 600) == std::set<std::string>{"v2"});
    CHECK(census.heldBack(service, 50, kStart + 600).empty());
    CHECK(census.heldBack(service, 5000, kStart + 500 + VersionCensus::kMaxHoldMs).empty());
}

TEST_CASE("Of versions that are listed together, the one that started first is in service") {
    UpstreamTable table;
    table.put(MakeUpstream("a", "v2", 9000), kStart, 1);
    table.put(MakeUpstream("b", "v1", 1000), kStart, 1);
    VersionCensus census;
    census.update(table, kStart);
    CHECK(census.heldBack(ServiceId("plain"), std::nullopt, kStart) == std::set<std::string>{"v2"});
}
