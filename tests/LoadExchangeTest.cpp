#include "include/peers/LoadExchange.h"

#include "include/base/Hash.h"
#include "tests/Fleet.h"

#include <catch2/catch.hpp>

#include <set>
#include <span>

using namespace onyx;

namespace {

// The site of the incident: 87 boxes in front of 112 model upstreams with 12 slots each.
constexpr FleetSize kSite{87, 112, 12};
constexpr uint64_t kSeed = 29;
// In milliseconds: the operators measure their limit over five seconds.
constexpr Millis kWindow = 5000;
// Share of the arrivals in a window that may be at an upstream over the limit. The operators allow
// 3 in 100.
constexpr double kMaxOver = 0.01;

// Long prompts, short prompts and checks, at the rates per second of that site.
std::vector<FleetTraffic> Traffic() {
    return {{174, 394, 100, 1100}, {150, 227, 70, 850}, {369, 836, 75, 40}};
}

}  // namespace

// Guards against overload of an upstream that many callers' common prompt prefers. On a site of 87
// boxes more than 3 in 100 of the arrivals in five calm seconds were at an upstream with a load of
// more than twice the mean + 3. Each box receives 0.6 requests per second for the prompt, and all
// boxes together 50; no box sees the others' requests in time, so all keep choosing that upstream.
// The cause was that boxes took loads for current that a third of the other boxes had sent a second
// ago. In this replay of the boxes' own records and frames, 3.9 in 100 arrivals were over the
// limit, and 1.2 in 100 when the boxes sent loads ten times as often.
TEST_CASE("A prompt that all callers send fills no upstream over the limit") {
    Fleet fleet(kSite, Traffic(), kSeed);
    fleet.runFor(kWindow);
    fleet.setHotShare(0.28);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
}

TEST_CASE("At the ordinary rate, in a burst and after restarts no upstream exceeds the limit") {
    Fleet fleet(kSite, Traffic(), kSeed);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
    fleet.setRateFactor(1.8);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
    fleet.restart(0.6);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
    fleet.setRateFactor(1);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxOver);
}

// Guards against a load bound that is computed from the mean of the upstreams in use only, while
// the operators' limit is computed from the mean of all.
TEST_CASE("While a zone is evacuated no upstream of the other zones exceeds the limit") {
    constexpr double kMaxAllowed = 0.03;  // The operators' limit.
    Fleet fleet(kSite, Traffic(), kSeed);
    fleet.runFor(kWindow);
    fleet.evacuateThird();
    fleet.runFor(1000);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxAllowed);
    CHECK(fleet.runFor(kWindow).overLimitShare() < kMaxAllowed);
}

TEST_CASE("Boxes of an earlier version receive digests and no frames that they do not support") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), {});
    LoadExchange exchange(records, 4000);
    BoxDirectory boxes({"10.0.0.1:1", "z"}, 2);
    std::vector<std::string> linked;
    for (int i = 2; i < 10; ++i) {
        linked.push_back("10.0.0." + std::to_string(i) + ":1");
        boxes.learn({linked.back(), "z"}, {0});
    }
    std::erase_if(linked, [&](const std::string& box) { return !boxes.isNeighbour(box); });
    REQUIRE(linked.size() == 4);
    const auto sentFrames = [&](MonoTime now) {
        size_t digests = 0;
        std::set<std::string> reports;
        for (const OutgoingFrame& outgoing : exchange.makeDueFrames(boxes, linked, now)) {
            const std::span<const char> frame(outgoing.frame);
            const auto body = DecodeFrame(frame.subspan(kFrameHeaderSize)).value();
            digests += body.AsDigest() != nullptr ? outgoing.to.size() : 0;
            if (body.AsLoadReports() != nullptr) {
                reports.insert(outgoing.to.begin(), outgoing.to.end());
            }
        }
        return std::make_pair(digests, reports);
    };
    records.noteReportedLoad("a", 5, {10000});
    CHECK(sentFrames({10000}).second.size() == linked.size());
    // A rolling upgrade: only one of the boxes supports load reports so far.
    for (size_t i = 1; i < linked.size(); ++i) {
        exchange.setLoadReportSupport(linked[i], false);
    }
    records.noteReportedLoad("a", 9, {20000});
    const auto [digests, reports] = sentFrames({20000});
    CHECK(digests == linked.size());
    CHECK(reports == std::set<std::string>{linked[0]});
    // No box supports load reports: none is sent, and the due reports stay due for boxes that
    // support them later.
    exchange.setLoadReportSupport(linked[0], false);
    records.noteReportedLoad("a", 12, {20100});
    CHECK(sentFrames({20200}).second.empty());
    exchange.setLoadReportSupport(linked[0], true);
    CHECK(sentFrames({20300}).second.size() == 1);
    // A Hello of an earlier version does not announce support for load reports.
    CHECK_FALSE(wire::HelloT().takes_load_reports);
}

// Guards against loads of a burst that count long after it: the byte budget of a large site lets a
// box send a digest with many cache holdings only every 20 s.
TEST_CASE("On a large site loads count for a few seconds, however rarely a box may announce them") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), {});
    LoadExchange exchange(records, 4000);
    BoxDirectory boxes({"10.0.0.1:1", "z"}, 2);
    for (int i = 2; i < 10; ++i) {
        boxes.learn({"10.0.0." + std::to_string(i) + ":1", "z"}, {0});
    }
    exchange.makeDueFrames(boxes, {}, {1000});
    REQUIRE(records.loadsAreSampled());
    wire::DigestT digest;
    digest.loads.emplace_back(ShortHash("a"), 50, false);
    digest.next_ms = 20000;
    wire::BodyUnion body;
    body.Set(std::move(digest));
    exchange.handleMessage("10.0.0.2:1", body, {5000});
    records.expirePeerLoads({8000});
    CHECK(records.load("a", {8000}).counted == 50);
    records.expirePeerLoads({9500});
    CHECK(records.load("a", {9500}).counted == 0);
}

TEST_CASE("A reported load keeps its age when a box passes it on") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), {});
    LoadExchange exchange(records, 4000);
    wire::LoadReportsT message;
    message.reports.emplace_back(ShortHash("a"), 9, 300);
    wire::BodyUnion body;
    body.Set(std::move(message));
    exchange.handleMessage("10.0.0.2:1", body, {5000});
    const std::vector<LoadReport> due = records.takeDueReports(9, {5100});
    REQUIRE(due.size() == 1);
    CHECK(due[0] == LoadReport{ShortHash("a"), 9, {4700}});
}
