#include "include/routing/UpstreamTable.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

#include <set>

using namespace onyx;

namespace {

Upstream UpstreamOf(const std::string& id, bool draining = false) {
    return {id, ServiceId("s"), "127.0.0.1:1", ZoneId("z"), draining, 4};
}

}  // namespace

TEST_CASE(
    "Draining upstreams and those of other services are not in the list of accepting upstreams") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 1);
    table.put(UpstreamOf("b", true), {1}, 1);
    REQUIRE(table.acceptingUpstreams(ServiceId("s")).size() == 1);
    CHECK(table.acceptingUpstreams(ServiceId("s"))[0]->id == "a");
    CHECK(table.acceptingUpstreams(ServiceId("t")).empty());
}

TEST_CASE("An update keeps the time at which an upstream was first seen") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 1);
    table.put(UpstreamOf("a", true), {9}, 2);
    CHECK(table.all().at("a").since == MonoTime{1});
    CHECK(table.find("a")->draining);
}

namespace {

std::vector<std::string> IdsOf(const std::vector<Upstream>& upstreams) {
    std::vector<std::string> ids;
    for (const Upstream& upstream : upstreams) {
        ids.push_back(upstream.id);
    }
    return ids;
}

}  // namespace

TEST_CASE("Changes since a revision are those made after it") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 10);
    table.put(UpstreamOf("b"), {1}, 10);
    table.setRevision(10);
    CHECK(table.changesSince(10).changed.empty());
    table.put(UpstreamOf("a", true), {2}, 12);
    table.remove("b", 14);
    table.setRevision(14);
    const UpstreamChanges since = table.changesSince(10);
    CHECK_FALSE(since.whole);
    CHECK(since.revision == 14);
    CHECK(IdsOf(since.changed) == std::vector<std::string>{"a"});
    CHECK(since.changed.front().draining);
    CHECK(since.removed == std::vector<std::string>{"b"});
    CHECK(table.changesSince(12).changed.empty());
    CHECK(table.changesSince(14).removed.empty());
}

TEST_CASE("An upstream that was removed and added again is reported in its current state") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 10);
    table.setRevision(10);
    table.remove("a", 11);
    table.put(UpstreamOf("a"), {2}, 12);
    table.setRevision(12);
    const UpstreamChanges since = table.changesSince(10);
    CHECK(since.removed.empty());
    CHECK(IdsOf(since.changed) == std::vector<std::string>{"a"});
}

TEST_CASE("Revisions before the first list or the oldest recorded removal get the whole list") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 10);
    table.setRevision(10);
    CHECK(table.changesSince(0).whole);
    CHECK(table.changesSince(9).whole);
    for (uint64_t i = 0; i < 1001; ++i) {
        table.put(UpstreamOf("x"), {1}, 11 + 2 * i);
        table.remove("x", 12 + 2 * i);
    }
    table.setRevision(3000);
    CHECK(table.changesSince(11).whole);
    CHECK(IdsOf(table.changesSince(11).changed) == std::vector<std::string>{"a"});
    CHECK_FALSE(table.changesSince(12).whole);
}

TEST_CASE("After a restore of the store, revisions before the restored one get the whole list") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 50);
    table.setRevision(50);
    table.put(UpstreamOf("b"), {1}, 20);
    table.setRevision(20);
    CHECK(table.revision() == 20);
    CHECK(table.changesSince(19).whole);
    CHECK(table.changesSince(20).changed.empty());
}

TEST_CASE("The ring of a service has each of its upstreams once, from any position") {
    UpstreamTable table;
    for (int i = 0; i < 50; ++i) {
        table.put(UpstreamOf("u" + std::to_string(i)), {1}, 1);
    }
    table.put({"other", ServiceId("t"), "127.0.0.1:1", ZoneId("z"), false, 4}, {1}, 1);
    table.remove("u7", 2);
    std::set<std::string> seen;
    table.visitRing(ServiceId("s"), 0x8000000000000000U, [&](const UpstreamTable::Entry& entry) {
        CHECK(seen.insert(entry.upstream.id).second);
        return true;
    });
    CHECK(seen.size() == 49);
    CHECK(table.count(ServiceId("s")) == 49);
    CHECK(table.count(ServiceId("none")) == 0);
}

TEST_CASE("A visit of the ring ends when it has seen enough, at any size of the service") {
    const int upstreams = GENERATE(100, 10000, 20000);
    UpstreamTable table;
    for (int i = 0; i < upstreams; ++i) {
        table.put(UpstreamOf("u" + std::to_string(i)), {1}, 1);
    }
    size_t visited = 0;
    table.visitRing(ServiceId("s"), 12345,
                    [&](const UpstreamTable::Entry&) { return ++visited < 64; });
    CHECK(visited == 64);
}

TEST_CASE("An upstream that moves to another service leaves the ring of the first") {
    UpstreamTable table;
    table.put(UpstreamOf("a"), {1}, 1);
    table.put({"a", ServiceId("t"), "127.0.0.1:1", ZoneId("z"), false, 4}, {1}, 2);
    CHECK(table.count(ServiceId("s")) == 0);
    CHECK(table.count(ServiceId("t")) == 1);
    CHECK(table.findByNumber(ShortHash("a"))->upstream.service == ServiceId("t"));
    table.remove("a", 3);
    CHECK(table.findByNumber(ShortHash("a")) == nullptr);
}
