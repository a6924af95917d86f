#include "include/freshness/PeerQueries.h"
#include "include/freshness/StalenessPolicy.h"
#include "include/freshness/StateAge.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace onyx;

TEST_CASE("The age of the state counts from the newest confirmation") {
    StateAge known;
    CHECK(ClassifyStaleness(RefuseStale{}, 1000, known.age({0})) == Staleness::kUnusable);
    CHECK_FALSE(known.age({0}).has_value());
    known.confirm({100});
    known.confirm({50});
    CHECK(known.age({400}) == 300);
    CHECK(ClassifyStaleness(RefuseStale{}, 300, known.age({400})) == Staleness::kFresh);
    CHECK(ClassifyStaleness(RefuseStale{}, 300, known.age({401})) == Staleness::kUnusable);
}

// Guards against a failure of pcw-onyx-grown quiet-1: after a watch that ended with changes the
// state of the watchers got as old as two watches, and 79 followers left them at once without a
// fault.
TEST_CASE("After a change the state does not get as old as two watches") {
    constexpr Millis kMaxWaitMs = 750;
    constexpr Millis kMinWaitMs = 10;
    CHECK(WaitForMaxAge(kMaxWaitMs, 0, kMinWaitMs) == 750);
    CHECK(WaitForMaxAge(kMaxWaitMs, 740, kMinWaitMs) == 10);
    CHECK(WaitForMaxAge(kMaxWaitMs, 5000, kMinWaitMs) == 10);
    // A change may end a watch at any time: the age stays near the length of one watch.
    for (Millis change = 1; change < kMaxWaitMs; ++change) {
        const MonoTime sent{1000};
        const MonoTime ended = sent + change;
        const MonoTime asOf = WatchConfirmedAsOf(sent, ended, kMaxWaitMs, false);
        const Millis next = WaitForMaxAge(kMaxWaitMs, ended - asOf, kMinWaitMs);
        CHECK(ended + next - asOf <= kMaxWaitMs + kMinWaitMs);
    }
}

TEST_CASE("What does not exist is proved for less than the time that a change may take") {
    CHECK(DenialLimit(2000) == 1600);
    CHECK(DenialLimit(5000) == 4600);
    CHECK(DenialLimit(600) == 300);
    CHECK(DenialLimit(0) == 0);
}

TEST_CASE("The strict policy refuses a stale configuration") {
    const StalenessPolicy strict = RefuseStale{};
    CHECK(ClassifyStaleness(strict, 3600, 3600) == Staleness::kFresh);
    CHECK(ClassifyStaleness(strict, 3600, 3601) == Staleness::kUnusable);
    CHECK(ClassifyStaleness(strict, 3600, std::nullopt) == Staleness::kUnusable);
}

TEST_CASE("The lenient policy accepts a stale configuration up to an age limit") {
    const StalenessPolicy lenient = ServeStale{60000};
    CHECK(ClassifyStaleness(lenient, 3600, 3600) == Staleness::kFresh);
    CHECK(ClassifyStaleness(lenient, 3600, 3601) == Staleness::kStale);
    CHECK(ClassifyStaleness(lenient, 3600, 60000) == Staleness::kStale);
    CHECK(ClassifyStaleness(lenient, 3600, 60001) == Staleness::kUnusable);
    CHECK(ClassifyStaleness(lenient, 3600, std::nullopt) == Staleness::kUnusable);
}

TEST_CASE("The state of a box that was suspended is too old") {
    StateAge known;
    known.confirm({1000});
    CHECK(ClassifyStaleness(RefuseStale{}, 3600, known.age({2000})) == Staleness::kFresh);
    CHECK(ClassifyStaleness(RefuseStale{}, 3600, known.age({60000})) == Staleness::kUnusable);
}

TEST_CASE("A watch confirms its wait only if it ended without changes and lasted that long") {
    CHECK(WatchConfirmedAsOf({100}, {2100}, 2000, true) == MonoTime{2100});
    // The response is late: it is valid as of the end of the wait, not as of its arrival.
    CHECK(WatchConfirmedAsOf({100}, {9000}, 2000, true) == MonoTime{2100});
    CHECK(WatchConfirmedAsOf({100}, {1500}, 2000, true) == MonoTime{100});
    CHECK(WatchConfirmedAsOf({100}, {2100}, 2000, false) == MonoTime{100});
}

TEST_CASE("The reply of a peer is valid as of the query, less the age that it reports") {
    PeerQueries peers;
    const uint64_t round = peers.ask({1000});
    CHECK(peers.stateAsOf(round, 300) == MonoTime{700});
    CHECK_FALSE(peers.stateAsOf(round, -1).has_value());
    CHECK_FALSE(peers.stateAsOf(round + 1, 0).has_value());
}

TEST_CASE("Queries that were never answered are dropped") {
    PeerQueries peers;
    const uint64_t first = peers.ask({1});
    for (size_t i = 0; i < PeerQueries::kMaxOpenQueries; ++i) {
        peers.ask({2});
    }
    CHECK_FALSE(peers.stateAsOf(first, 0).has_value());
}

// Guards against a failure on a site of 85 boxes: a box that had lost the store received the whole
// configuration from all 32 boxes that it queried, over a connection that carries it twice a
// second.
TEST_CASE("Newer data is fetched from one box at a time") {
    PeerQueries peers;
    const auto first = peers.startFetch({1000});
    REQUIRE(first.has_value());
    CHECK(peers.stateAsOf(*first, 100) == MonoTime{900});
    CHECK_FALSE(peers.startFetch({1001}).has_value());
    peers.endFetch(peers.ask({1001}));
    CHECK_FALSE(peers.startFetch({1002}).has_value());
    peers.endFetch(*first);
    const auto second = peers.startFetch({1003});
    REQUIRE(second.has_value());
    // A fetch that is not answered is abandoned.
    const auto third = peers.startFetch({1003 + PeerQueries::kFetchTimeoutMs});
    REQUIRE(third.has_value());
    peers.endFetch(*second);
    CHECK_FALSE(peers.startFetch({1004 + PeerQueries::kFetchTimeoutMs}).has_value());
}

TEST_CASE("A few of many peers are queried in each round, all of them in rotation") {
    PeerQueries queries;
    std::vector<std::string> peers;
    for (int i = 0; i < 30; ++i) {
        peers.push_back("box-" + std::to_string(i));
    }
    std::set<std::string> asked;
    for (int round = 0; round < 4; ++round) {
        const auto some = queries.nextPeers(peers);
        CHECK(some.size() == PeerQueries::kPeersPerRound);
        asked.insert(some.begin(), some.end());
    }
    CHECK(asked.size() == peers.size());
    peers.resize(3);
    CHECK(queries.nextPeers(peers) == peers);
}

TEST_CASE("The state of boxes whose watches ended together does not stay equally old") {
    constexpr Millis kMaxWaitMs = 2000;
    constexpr int kBoxes = 6;
    constexpr MonoTime kEnd{60000};
    std::minstd_rand random(1);
    const auto wait = [&random] { return StaggeredWait(kMaxWaitMs, random()); };
    struct Watch {
        MonoTime sent;
        MonoTime ends;
    };
    std::vector<Watch> watches;
    for (int box = 0; box < kBoxes; ++box) {
        watches.push_back(
            {MonoTime{0}, MonoTime{0} + wait()});  // All sent at once, after a change.
    }
    Millis sum = 0;
    Millis samples = 0;
    for (MonoTime now{kMaxWaitMs}; now < kEnd; now = now + 10) {
        MonoTime newest{0};
        for (Watch& watch : watches) {
            if (now >= watch.ends) {
                watch = {now, now + wait()};
                CHECK(watch.ends - now >= kMaxWaitMs / 2);
                CHECK(watch.ends - now <= kMaxWaitMs);
            }
            newest = std::max(newest, watch.sent);
        }
        sum += now - newest;
        ++samples;
    }
    // Equally long watches would make it kMaxWaitMs / 2.
    CHECK(sum / samples < kMaxWaitMs / 6);
}

TEST_CASE("A staggered wait may be arbitrarily short") {
    CHECK(StaggeredWait(0, 7) == 0);
    CHECK(StaggeredWait(1, 7) == 1);
}
