#include "include/gateway/UpstreamList.h"

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
    records.noteSign(id, UpstreamSign::kUnreachable, {0}, {0});
}

}  // namespace

TEST_CASE("A whole list takes out what it does not have, and what was seen of that is forgotten") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    CHECK_FALSE(list.listed());
    list.apply(Whole(3, {"a", "b"}), "store", {100});
    CHECK(list.listed());
    Eject(records, "a");
    Eject(records, "b");
    list.apply(Whole(4, {"b"}), "store", {200});
    CHECK(list.table().find("a") == nullptr);
    CHECK(list.table().revision() == 4);
    CHECK_FALSE(records.isEjected("a", {1}));
    CHECK(records.isEjected("b", {1}));
}

TEST_CASE("What the first list has counts as old, what comes later as new") {
    asio::io_context io;
    UpstreamRecords records(io.get_executor(), HealthSettings());
    UpstreamList list(records);
    list.apply(Whole(3, {"a"}), "store", {100000});
    list.apply(Whole(4, {"a", "b"}), "peer", {200000});
    CHECK(list.table().all().at("a").since == MonoTime{0});
    CHECK(list.table().all().at("b").since == MonoTime{200000});
}
