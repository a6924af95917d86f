#include "include/placement/UpstreamLoads.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("Other boxes' requests from a recent report are added to this box's own") {
    UpstreamLoads loads;
    loads.addRequest("a");
    loads.addRequest("a");
    loads.noteReportedLoad("a", 5, {0});
    loads.removeRequest("a");
    CHECK(loads.own("a") == 1);
    CHECK(loads.total("a", {500}) == 4);
    CHECK(loads.total("a", {UpstreamLoads::kReportAge + 1}) == 1);
    loads.forget("a");
    CHECK(loads.own("a") == 1);
    loads.removeRequest("a");
    loads.forget("a");
    CHECK(loads.counts().empty());
}

TEST_CASE("Of two reports the newer one counts, whichever path it took") {
    UpstreamLoads loads;
    const uint32_t number = ShortHash("a");
    loads.noteReportedLoad("a", 5, {1000});
    loads.noteForwardedReport({number, 9, {900}}, {1010});
    CHECK(loads.reported("a", {1010}) == 5);
    loads.noteForwardedReport({number, 7, {1005}}, {1020});
    CHECK(loads.reported("a", {1020}) == 7);
    // This box's requests since the report are added.
    loads.addRequest("a");
    CHECK(loads.reported("a", {1020}) == 8);
    // A report's age is counted from its own time and not from its arrival.
    loads.noteForwardedReport({ShortHash("b"), 4, {0}}, {UpstreamLoads::kReportAge + 1});
    CHECK_FALSE(loads.reported("b", {UpstreamLoads::kReportAge + 1}));
    CHECK_FALSE(loads.reported("a", {1005 + UpstreamLoads::kReportAge + 1}));
}

TEST_CASE("Own and received reports are forwarded once, highest load first") {
    UpstreamLoads loads;
    loads.noteReportedLoad("a", 5, {1000});
    loads.noteForwardedReport({ShortHash("b"), 9, {990}}, {1000});
    loads.noteReportedLoad("c", 7, {1000});
    const auto first = loads.takeDueReports(2, {1000});
    REQUIRE(first.size() == 2);
    CHECK(first[0] == LoadReport{ShortHash("b"), 9, {990}});
    CHECK(first[1] == LoadReport{ShortHash("c"), 7, {1000}});
    const auto second = loads.takeDueReports(2, {1000});
    REQUIRE(second.size() == 1);
    CHECK(second[0].upstream == ShortHash("a"));
    CHECK(loads.takeDueReports(2, {1000}).empty());
    // A load that has barely changed waits; a changed one does not.
    loads.noteReportedLoad("a", 6, {1010});
    loads.noteReportedLoad("c", 9, {1010});
    const auto changed = loads.takeDueReports(9, {1010});
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].upstream == ShortHash("c"));
    CHECK(loads.takeDueReports(9, {1300}).size() == 1);
    // A report that has become old is not forwarded, because a newer one is on its way.
    loads.noteReportedLoad("d", 5, {2000});
    CHECK(loads.takeDueReports(9, {2900}).empty());
}

TEST_CASE("Reports of upstreams that this box never used do not accumulate") {
    UpstreamLoads loads;
    for (uint32_t number = 0; number < 1000; ++number) {
        loads.noteForwardedReport({number, 9, {1000}}, {1000});
    }
    CHECK(loads.takeDueReports(2000, {1000}).size() == 1000);
    loads.addRequest("a");
    CHECK(loads.takeDueReports(2000, {5000}).empty());
    CHECK(loads.counts().size() == 1);
    // A report that arrives once more is due again, because nothing of the first one was kept.
    loads.noteForwardedReport({7, 9, {5000}}, {5000});
    CHECK(loads.takeDueReports(2000, {5000}).size() == 1);
}

TEST_CASE("Whether a load was reported, and how long ago, is available for the log") {
    UpstreamLoads loads;
    CHECK_FALSE(loads.reportAge("a", {1000}));
    loads.addRequest("a");
    CHECK_FALSE(loads.reportAge("a", {1000}));
    loads.noteReportedLoad("a", 4, {1000});
    CHECK(loads.reportAge("a", {1300}) == Millis{300});
    // An older report that another box forwards changes nothing.
    loads.noteForwardedReport({ShortHash("a"), 9, {900}}, {1400});
    CHECK(loads.reportAge("a", {1400}) == Millis{400});
    // The age is returned even if the report is too old to be used.
    CHECK(loads.reportAge("a", {9000}) == Millis{8000});
}
