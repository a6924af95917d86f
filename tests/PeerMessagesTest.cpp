#include "include/peers/PeerMessages.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

UpstreamTable SomeTable() {
    UpstreamTable table;
    table.put({"a", ServiceId("s"), "127.0.0.1:1", ZoneId("z"), false, 4, 1700}, {0}, 5);
    table.put({"b", ServiceId("s"), "127.0.0.1:2", ZoneId("z"), true, 2}, {0}, 8);
    table.setRevision(8);
    return table;
}

wire::KnowledgeReplyT ReplyTo(const wire::KnowledgeAskT& ask) {
    wire::KnowledgeReplyT reply;
    reply.upstreams_revision = 8;
    AddUpstreamChanges(SomeTable(), ask, reply);
    return reply;
}

}  // namespace

TEST_CASE("Upstreams that one box encodes are decoded unchanged by another") {
    const auto changes = ReadUpstreamChanges(ReplyTo({}));
    REQUIRE(changes);
    CHECK(changes->whole);
    CHECK(changes->revision == 8);
    REQUIRE(changes->changed.size() == 2);
    CHECK(changes->changed[0] == SomeTable().all().at("a").upstream);
    CHECK(changes->changed[1] == SomeTable().all().at("b").upstream);
}

TEST_CASE("A follower, which can query the store, does not receive a whole list") {
    wire::KnowledgeAskT ask;
    ask.follows = true;
    CHECK_FALSE(ReadUpstreamChanges(ReplyTo(ask)).has_value());
}

TEST_CASE("A whole list is sent in reply to a fetch, not to every ask") {
    wire::KnowledgeAskT ask;
    ask.no_content = true;
    CHECK_FALSE(ReadUpstreamChanges(ReplyTo(ask)).has_value());
    ask.no_content = false;
    CHECK(ReadUpstreamChanges(ReplyTo(ask))->whole);
}

TEST_CASE("An entry without an id is skipped") {
    wire::KnowledgeReplyT reply = ReplyTo({});
    reply.upstreams.front()->id.clear();
    reply.upstreams.push_back(nullptr);
    CHECK(ReadUpstreamChanges(reply)->changed.size() == 1);
}

// Guards against a box of an earlier build that passes on what writes lines into requests.
TEST_CASE("An entry whose id or address no header can hold is skipped") {
    for (const std::string& text : {std::string("a\r\nTenant: x"), std::string("a\0b", 3)}) {
        wire::KnowledgeReplyT reply = ReplyTo({});
        reply.upstreams.front()->id = text;
        CHECK(ReadUpstreamChanges(reply)->changed.size() == 1);
        reply.upstreams.back()->address = text;
        CHECK(ReadUpstreamChanges(reply)->changed.empty());
    }
}

TEST_CASE("An entry of an earlier version, which has no start time, is decoded") {
    wire::KnowledgeReplyT reply = ReplyTo({});
    reply.upstreams.front()->started_ms = 0;
    CHECK(ReadUpstreamChanges(reply)->changed[0].startedMs == 0);
}
