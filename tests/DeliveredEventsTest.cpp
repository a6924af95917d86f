#include "include/relay/DeliveredEvents.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

StreamEvent WithId(uint64_t id) {
    return {"", id, true, true};
}

}  // namespace

TEST_CASE("A continuation's events are delivered from the first one that the caller lacks") {
    DeliveredEvents events(std::nullopt);
    events.beginAttempt();
    CHECK(events.take(WithId(1)) == EventUse::kDeliver);
    CHECK(events.take(WithId(2)) == EventUse::kDeliver);
    events.beginAttempt();
    CHECK(events.take(WithId(1)) == EventUse::kDuplicate);
    CHECK(events.take(WithId(2)) == EventUse::kDuplicate);
    CHECK(events.take(WithId(3)) == EventUse::kDeliver);
    CHECK(events.lastEvent() == 3);
    CHECK(events.isPlaceKnown());
}

TEST_CASE("A caller that takes a stream up gets no event that it names") {
    DeliveredEvents events(7);
    events.beginAttempt();
    CHECK(events.take(WithId(7)) == EventUse::kDuplicate);
    CHECK(events.take(WithId(8)) == EventUse::kDeliver);
}

// An event with a wrong id was dropped, and the stream ended as complete without it.
TEST_CASE("An id that does not rise within one upstream's stream makes the place unknown") {
    DeliveredEvents events(std::nullopt);
    events.beginAttempt();
    events.take(WithId(5));
    CHECK(events.take(WithId(GENERATE(4, 5))) == EventUse::kOutOfOrder);
    CHECK_FALSE(events.isPlaceKnown());
}

// The second piece of an event that the caller had already was passed on.
TEST_CASE("The pieces of a long event share what becomes of it") {
    DeliveredEvents events(5);
    events.beginAttempt();
    const uint64_t id = GENERATE(5, 6);
    const EventUse use = id == 5 ? EventUse::kDuplicate : EventUse::kDeliver;
    CHECK(events.take({"id", id, true, false, false}) == use);
    CHECK(events.take({"middle", std::nullopt, false, false, true}) == use);
    CHECK(events.take({"end", std::nullopt, false, false, true}) == use);
    CHECK(events.isPlaceKnown() == (id == 5));
}

TEST_CASE("The place in a stream is unknown after data without an id or a part of an event") {
    DeliveredEvents events(std::nullopt);
    events.beginAttempt();
    CHECK(events.take({": ping\n\n", std::nullopt, false, true}) == EventUse::kDeliver);
    CHECK(events.isPlaceKnown());
    const bool isWhole = GENERATE(true, false);
    CHECK(events.take({"data", std::nullopt, isWhole, isWhole}) == EventUse::kDeliver);
    CHECK_FALSE(events.isPlaceKnown());
}
