#include "include/health/ColdUpstreams.h"
#include "include/placement/UpstreamExclusion.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

const Incarnation kUpstream{"a", 1000};
const Incarnation kRestarted{"a", 2000};

}  // namespace

TEST_CASE("An upstream is cold for the reported time") {
    ColdUpstreams cold;
    CHECK_FALSE(cold.coldLeft(kUpstream, {0}));
    CHECK_FALSE(cold.note(kUpstream, 0, {0}));
    CHECK(cold.note(kUpstream, 3000, {0}));
    CHECK_FALSE(cold.note(kUpstream, 3000, {0}));
    CHECK(cold.coldLeft(kUpstream, {1000}) == 2000);
    CHECK_FALSE(cold.coldLeft(kUpstream, {3000}));
    CHECK_FALSE(cold.coldLeft({"b", 1000}, {1000}));
}

TEST_CASE("An upstream may become cold again, and may be reported warm before its time is over") {
    ColdUpstreams cold;
    cold.note(kUpstream, 3000, {0});
    CHECK_FALSE(cold.note(kUpstream, 0, {500}));
    CHECK_FALSE(cold.coldLeft(kUpstream, {500}));
    CHECK(cold.note(kUpstream, 2000, {10000}));
    CHECK(cold.coldLeft(kUpstream, {11000}) == 1000);
}

TEST_CASE("A report on an earlier incarnation does not change a later one") {
    ColdUpstreams cold;
    cold.note(kUpstream, 3000, {0});
    CHECK_FALSE(cold.coldLeft(kRestarted, {0}));
    CHECK(cold.note(kRestarted, 3000, {1000}));
    CHECK_FALSE(cold.note(kUpstream, 0, {1100}));
    CHECK(cold.coldLeft(kRestarted, {1100}) == 2900);
    // A box of an earlier build does not pass on the start time.
    CHECK(cold.coldLeft({"a", 0}, {1100}) == 2900);
}

TEST_CASE("Requests of one box to a cold upstream are at least the spacing apart") {
    ColdUpstreams cold;
    cold.note(kUpstream, 3000, {0});
    CHECK(cold.waitBeforeSend(kUpstream, 300, {0}) == 0);
    cold.recordSend(kUpstream, {0});
    CHECK(cold.waitBeforeSend(kUpstream, 300, {100}) == 200);
    CHECK(cold.waitBeforeSend(kUpstream, 300, {300}) == 0);
    cold.recordSend({"b", 1}, {0});
    CHECK(cold.waitBeforeSend({"b", 1}, 300, {100}) == 0);
}

TEST_CASE("An upstream is excluded for the first reason that applies") {
    CHECK_FALSE(ExclusionOf({}));
    ExclusionInputs inputs;
    inputs.coldWait = 0;
    CHECK_FALSE(ExclusionOf(inputs));
    inputs.coldWait = 150;
    CHECK(ExclusionOf(inputs)->reason == ExclusionReason::kCold);
    CHECK(ExclusionOf(inputs)->wait == 150);
    inputs.backoff = 4000;
    CHECK(ExclusionOf(inputs)->reason == ExclusionReason::kBackoff);
    inputs.evacuated = true;
    CHECK(ExclusionOf(inputs)->reason == ExclusionReason::kEvacuated);
    inputs.regionNotAllowed = true;
    CHECK(ExclusionOf(inputs)->reason == ExclusionReason::kRegionNotAllowed);
    inputs.leaving = true;
    CHECK(ExclusionOf(inputs)->reason == ExclusionReason::kLeaving);
    CHECK_FALSE(ExclusionOf(inputs)->wait);
    inputs.draining = true;
    CHECK(ExclusionOf(inputs)->reason == ExclusionReason::kDraining);
}

TEST_CASE("A tally of excluded upstreams has the counts by reason and the shortest wait") {
    ExclusionTally tally;
    CHECK(tally.text().empty());
    CHECK_FALSE(tally.wait());
    tally.add({ExclusionReason::kDraining, std::nullopt});
    tally.add({ExclusionReason::kCold, 300});
    tally.add({ExclusionReason::kCold, 100});
    CHECK(tally.count() == 3);
    CHECK(tally.count(ExclusionReason::kCold) == 2);
    CHECK(tally.wait() == 100);
    CHECK(tally.text() == "draining=1 cold=2");
}
