#include "include/state/UpstreamList.h"

#include "include/base/Hash.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace onyx;

namespace {

Upstream UpstreamOf(const std::string& id) {
    return {id, ServiceId("s"), "127.0.0.1:1", ZoneId("z"), false, 4};
}

UpstreamChanges Whole(uint64_t revision, const std::vector<std::string>& ids) {
    UpstreamChanges changes;
    changes.whole = true;
    changes.revision = revision;
    for (const std::string& id : ids) {
        changes.changed.push_back(UpstreamOf(id));
    }
    return changes;
}

// Ejects an upstream by a refused connection.
void Eject(UpstreamRecords& records, const std::string& id) {
    records.recordSignal(id, HealthSignal::kUnreachable, {0}, {0});
}

}  // namespace

TEST_CASE("A whole list removes the upstreams that it omits and discards their records") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    CHECK_FALSE(list.hasList());
    list.apply(Whole(3, {"a", "b"}), "store", {100});
    CHECK(list.hasList());
    Eject(records, "a");
    Eject(records, "b");
    list.apply(Whole(4, {"b"}), "store", {200});
    CHECK(list.table().find("a") == nullptr);
    CHECK(list.table().revision() == 4);
    CHECK_FALSE(records.isEjected("a", {1}));
    CHECK(records.isEjected("b", {1}));
}

TEST_CASE("Upstreams of the first list count as old, upstreams added later as new") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(Whole(3, {"a"}), "store", {100000});
    list.apply(Whole(4, {"a", "b"}), "peer", {200000});
    CHECK(list.table().all().at("a").since == MonoTime{0});
    CHECK(list.table().all().at("b").since == MonoTime{200000});
}

namespace {

// A list with one upstream that started at `startedMs`.
UpstreamChanges Started(uint64_t revision, int64_t startedMs) {
    UpstreamChanges changes = Whole(revision, {"a"});
    changes.changed.front().startedMs = startedMs;
    return changes;
}

}  // namespace

TEST_CASE("A restart under the same id discards all records of the previous incarnation") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    const std::vector<std::string> parts{"part"};
    list.apply(Started(3, 1000), "store", {100});
    Eject(records, "a");
    records.noteReportedLoad("a", 7, {100});
    records.recordPrompt(parts, "a", {100});
    int restarts = 0;
    const uint64_t early = records.beginAttempt({"a", 1000}, [&] { ++restarts; });
    records.recordPeerLoads("box", {{ShortHash("a"), 5}}, {100}, 5000);
    REQUIRE(records.load("a", {100}).exact > 0);

    list.apply(Started(4, 2000), "store", {200});
    CHECK(restarts == 1);
    CHECK_FALSE(records.isEjected("a", {1}));
    CHECK(records.load("a", {200}).exact == 0);
    CHECK(records.caches().holders("part", {200}).empty());
    CHECK_FALSE(records.hasAnnouncements());
    CHECK(list.table().all().at("a").since == MonoTime{200});

    // An attempt at the previous incarnation that ends late does not lower the new one's count.
    const uint64_t late = records.beginAttempt({"a", 2000}, [&] { ++restarts; });
    records.endAttempt(early);
    CHECK(records.load("a", {200}).exact == 1);
    // An attempt placed at the previous incarnation that begins late does not raise the new one's
    // count.
    const uint64_t placedBefore = records.beginAttempt({"a", 1000}, [] {});
    CHECK(records.load("a", {200}).exact == 1);
    records.endAttempt(placedBefore);
    records.endAttempt(late);
    CHECK(records.load("a", {200}).exact == 0);
    CHECK(restarts == 1);
}

TEST_CASE(
    "A late entry of an earlier incarnation is ignored, even after the upstream was removed") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(Started(3, 2000), "store", {100});
    const auto late = GENERATE(true, false);
    if (late) {
        list.apply(Whole(4, {}), "store", {150});
    }
    list.apply(Started(5, 1000), "peer", {200});
    const Upstream* known = list.table().find("a");
    CHECK((known == nullptr) == late);
    CHECK((late || known->startedMs == 2000));
    list.apply(Started(6, 3000), "store", {300});
    REQUIRE(list.table().find("a") != nullptr);
    CHECK(list.table().find("a")->startedMs == 3000);
}

TEST_CASE("An entry without a start time, from a box of an earlier version, keeps the known one") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(Started(3, 2000), "store", {100});
    UpstreamChanges drains = Started(4, 0);
    drains.changed.front().draining = true;
    list.apply(drains, "peer", {200});
    REQUIRE(list.table().find("a") != nullptr);
    CHECK(list.table().find("a")->draining);
    CHECK(list.table().find("a")->startedMs == 2000);
}

TEST_CASE("Data from other boxes counts only for the incarnation that it is about") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    const uint32_t number = ShortHash("a");
    CHECK(records.isCurrent(number, StartTag(1000)));  // Not listed here yet.
    records.recordStart({"a", 1000});
    CHECK(records.startTagOf(number) == StartTag(1000));
    CHECK(records.isCurrent(number, StartTag(1000)));
    CHECK(records.isCurrent(number, 0));  // From an earlier version; only one incarnation seen.
    CHECK_FALSE(records.isCurrent(number, StartTag(2000)));
    records.recordStart({"a", 2000});
    CHECK_FALSE(records.isCurrent(number, StartTag(1000)));
    CHECK_FALSE(records.isCurrent(number, 0));
    CHECK(records.isCurrent(number, StartTag(2000)));
}

// Guards against forwarding the list for each second by which a cold upstream's remaining cold time
// shrinks.
TEST_CASE("Only the start of an upstream's cold time and a shift of its end are list changes") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(Whole(3, {"a"}), "store", {100});
    const auto applyColdLeft = [&](uint64_t revision, Millis left, Millis at) {
        UpstreamChanges changes;
        changes.revision = revision;
        changes.changed.push_back(UpstreamOf("a"));
        changes.changed.back().coldLeft = left;
        list.apply(changes, "store", {at});
        return list.table().changesSince(revision - 1).changed.size();
    };
    CHECK(applyColdLeft(4, 3000, 1000) == 1);
    CHECK(list.coldLeft("a", {1000}) == 3000);
    CHECK(applyColdLeft(5, 1800, 2200) == 0);
    CHECK(applyColdLeft(6, 0, 4100) == 0);
    CHECK(list.coldLeft("a", {4100}) == 0);
    CHECK(applyColdLeft(7, 3000, 10000) == 1);
    CHECK(applyColdLeft(8, 3000, 11500) == 1);
    CHECK(list.coldLeft("a", {11500}) == 3000);
    CHECK(applyColdLeft(9, 0, 12000) == 1);
    CHECK(list.coldLeft("a", {12000}) == 0);
}

namespace {

UpstreamChanges FirstPage(uint64_t revision, const std::vector<std::string>& ids) {
    UpstreamChanges page = Whole(revision, ids);
    page.whole = false;
    return page;
}

}  // namespace

// Guards against a box that refuses every request until it has the last page of a long list.
TEST_CASE("A first page serves once it has upstreams of each service") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    const std::vector<ServiceSpec> listed{{ServiceId("s")}};
    const std::vector<ServiceSpec> more{{ServiceId("s")}, {ServiceId("t")}};
    CHECK_FALSE(list.covers(listed));
    list.apply(FirstPage(3, {"a", "b"}), "store", {100});
    CHECK(list.isPartial());
    CHECK_FALSE(list.hasList());
    CHECK(list.covers(listed));
    CHECK_FALSE(list.covers(more));
    CHECK_FALSE(list.covers({}));
    list.apply(Whole(4, {"a", "b", "c"}), "peer", {200});
    CHECK_FALSE(list.isPartial());
    CHECK(list.covers(more));
}

// Guards against a partial list that is sent on as a whole one, or as changes that it lacks.
TEST_CASE("A partial list has the changes since its first page, and none from before") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    CHECK_FALSE(list.hasChangesSince(0));
    list.apply(FirstPage(3, {"a"}), "store", {100});
    CHECK_FALSE(list.hasChangesSince(0));
    CHECK_FALSE(list.hasChangesSince(2));
    CHECK(list.hasChangesSince(3));
    list.complete(Whole(3, {"a", "b"}), "peer", {200});
    CHECK(list.hasChangesSince(0));
}

// Guards against upstreams that come back with an older list after their removal.
TEST_CASE("An older whole list completes a partial one and undoes none of its changes") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(FirstPage(3, {"a", "b", "c"}), "store", {100});
    UpstreamChanges changes = FirstPage(8, {"a", "x"});
    changes.changed[0].draining = true;
    changes.removed = {"b", "u"};
    list.apply(changes, "store", {200});
    list.complete(Whole(2, {"a", "b", "c", "u", "y"}), "store", {300});
    CHECK(list.isPartial());
    list.complete(Whole(5, {"a", "b", "c", "u", "y", "z"}), "store", {300});
    CHECK(list.hasList());
    CHECK(list.table().revision() == 8);
    CHECK(list.table().find("a")->draining);
    CHECK(list.table().find("b") == nullptr);
    CHECK(list.table().find("u") == nullptr);
    CHECK(list.table().all().size() == 5);
    const UpstreamChanges since = list.table().changesSince(5);
    CHECK_FALSE(since.whole);
    CHECK(since.removed == std::vector<std::string>{"b", "u"});
}

// Guards against an upstream that stays listed at other boxes: this box never knew of it, so it
// cannot tell them that it is gone.
TEST_CASE("A newer whole list after a partial one comes with no changes from before") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(FirstPage(3, {"a"}), "store", {100});
    list.apply(Whole(6, {"a", "c"}), "peer", {200});
    CHECK(list.table().changesSince(3).whole);
    CHECK_FALSE(list.table().changesSince(6).whole);
}
