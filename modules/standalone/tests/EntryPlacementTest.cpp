#include "modules/standalone/include/membership/PeerTable.h"
#include "modules/standalone/include/placement/EntryPlacement.h"
#include "modules/standalone/include/placement/RendezvousOrder.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

EngineChoice Choice(const char* name, bool near = true, bool full = false) {
    return {EngineId(name), near, full};
}

}  // namespace

TEST_CASE("The order is first choice, near ones, far ones, then the queue") {
    EntryPlacement placement(
        {Choice("a", true, true), Choice("b", true, true), Choice("c"), Choice("z", false)});
    CHECK(placement.next()->followNote);
    CHECK(placement.next()->engine == EngineId("c"));  // b is said to be full.
    CHECK(placement.next()->engine == EngineId("z"));
    const auto last = placement.next();
    CHECK(last->engine == EngineId("a"));
    CHECK(last->mayQueue);
    CHECK_FALSE(placement.next());
}

TEST_CASE("A note is followed once, and a full one costs nothing else") {
    EntryPlacement placement({Choice("a"), Choice("b")});
    CHECK(placement.next()->engine == EngineId("a"));
    placement.goTo(EngineId("b"));
    CHECK(placement.next()->engine == EngineId("b"));
    const auto again = placement.next();
    CHECK(again->engine == EngineId("a"));
    CHECK_FALSE(again->followNote);
}

TEST_CASE("A queue that failed is left for the next choice") {
    EntryPlacement placement({Choice("a"), Choice("b")});
    placement.next();
    placement.next();
    CHECK(placement.next()->mayQueue);
    placement.exclude(EngineId("a"));
    const auto next = placement.next();
    REQUIRE(next);
    CHECK(next->engine == EngineId("b"));
    CHECK(next->mayQueue);
}

TEST_CASE("One engine more or less moves only its own chats") {
    std::vector<EngineId> engines;
    for (int i = 0; i < 50; ++i) {
        engines.emplace_back("engine" + std::to_string(i));
    }
    std::vector<EngineId> fewer(engines.begin(), engines.end() - 1);
    for (int i = 0; i < 500; ++i) {
        const ChatId chat("chat" + std::to_string(i));
        const EngineId first = engines[RendezvousOrder(chat, engines, 1)[0]];
        if (first != engines.back()) {
            CHECK(fewer[RendezvousOrder(chat, fewer, 1)[0]] == first);
        }
    }
}

TEST_CASE("Homes move only from boxes that are lost or drain") {
    PeerTable table({MemberId("a#1"), ZoneId("z"), "1"}, 100);
    table.greeted({MemberId("b#1"), ZoneId("z"), "2"}, {0});
    table.greeted({MemberId("c#1"), ZoneId("z"), "3"}, {0});
    std::map<EngineId, MemberId> homes;
    for (int i = 0; i < 60; ++i) {
        const EngineId engine("engine" + std::to_string(i));
        homes[engine] = *table.homeOf(engine, ZoneId("z"), {50});
    }
    table.heard(MemberId("b#1"), true, 10, {60});
    table.heard(MemberId("c#1"), false, 10, {60});
    for (const auto& [engine, home] : homes) {
        const MemberId now = *table.homeOf(engine, ZoneId("z"), {60});
        CHECK(now != MemberId("b#1"));
        if (home != MemberId("b#1")) {
            CHECK(now == home);
        }
    }
    // Silence is loss, too.
    CHECK(table.live(ZoneId("z"), {200}).size() == 1);
}

TEST_CASE("A peer that promised no heartbeats lives until it is lost or suspected") {
    PeerTable table({MemberId("a#1"), ZoneId("z"), "1"}, 100);
    table.greeted({MemberId("b#1"), ZoneId("z"), "2"}, {0});
    table.heard(MemberId("b#1"), false, 0, {0});
    CHECK(table.isLive(MemberId("b#1"), {10000}));
    table.suspect(MemberId("b#1"));
    CHECK_FALSE(table.isLive(MemberId("b#1"), {10000}));
    table.heard(MemberId("b#1"), false, 0, {10001});
    CHECK(table.isLive(MemberId("b#1"), {10001}));
    table.lost(MemberId("b#1"));
    CHECK_FALSE(table.isLive(MemberId("b#1"), {10002}));
}
