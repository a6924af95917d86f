#include "include/relay/EventStream.h"

#include <catch2/catch.hpp>

#include <random>

using namespace onyx;

TEST_CASE("Each event is returned complete and once, however the input is split") {
    std::string text;
    for (int i = 1; i <= 50; ++i) {
        const char* end = i % 3 == 0 ? "\r\n" : "\n";
        text += "id: " + std::to_string(i) + end + "data: x" + std::to_string(i) + end + end;
    }
    std::minstd_rand random(GENERATE(1, 2, 3, 4, 5));
    EventStream stream;
    std::string out;
    uint64_t last = 0;
    for (size_t at = 0; at < text.size();) {
        const size_t size = std::min<size_t>(1 + random() % 40, text.size() - at);
        for (const StreamEvent& event : stream.feed(std::string_view(text).substr(at, size))) {
            REQUIRE(event.id.has_value());
            CHECK(*event.id == last + 1);
            last = *event.id;
            out += event.bytes;
        }
        at += size;
    }
    CHECK(out == text);
    CHECK(stream.incomplete().empty());
}

TEST_CASE("An incomplete event is not returned, and reset() discards it") {
    EventStream stream;
    CHECK(stream.feed("id: 1\ndata: a\n\nid: 2\nda").size() == 1);
    CHECK(stream.incomplete() == "id: 2\nda");
    stream.reset();
    CHECK(stream.incomplete().empty());
}

TEST_CASE("A stream is between events only after the end of one, also of one returned in pieces") {
    EventStream stream;
    CHECK(stream.isBetweenEvents());
    const std::string part(EventStream::kMaxEventBytes + 1, 'x');
    const auto pieces = stream.feed("data: " + part);
    REQUIRE(pieces.size() == 1);
    CHECK_FALSE(pieces[0].isWhole);
    CHECK_FALSE(stream.isBetweenEvents());
    const auto rest = stream.feed("end\n\ndata: y\n\n");
    REQUIRE(rest.size() == 2);
    CHECK_FALSE(rest[0].isWhole);
    CHECK(rest[0].isContinuation);
    CHECK_FALSE(rest[1].isContinuation);
    CHECK(rest[1].isWhole);
    CHECK(stream.isBetweenEvents());
}

TEST_CASE("An event without a numeric id has no id") {
    EventStream stream;
    const auto events = stream.feed("data: a\n\nid: x\n\n");
    REQUIRE(events.size() == 2);
    CHECK_FALSE(events[0].id.has_value());
    CHECK_FALSE(events[1].id.has_value());
}

TEST_CASE("The buffer for an event that never ends is bounded") {
    EventStream stream;
    const std::string piece(64 * 1024, 'x');
    for (int i = 0; i < 100; ++i) {
        stream.feed(piece);
        CHECK(stream.incomplete().size() <= EventStream::kMaxEventBytes + piece.size());
    }
}
