#include "include/request/CollectedBody.h"

#include "include/relay/AnswerHeadRule.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace onyx;

// Bodies that were collected at the same time filled a box's memory.
TEST_CASE("Collected bodies hold at most the memory of one exchange each and of the box together") {
    const auto memory = std::make_shared<AnswerMemory>();
    const std::string piece(16 * 1024, 'p');
    std::vector<std::unique_ptr<CollectedBody>> bodies;
    size_t held = 0;
    for (int i = 0; i < 200; ++i) {
        bodies.push_back(std::make_unique<CollectedBody>(memory));
        size_t size = 0;
        while (bodies.back()->append(piece)) {
            size += piece.size();
        }
        CHECK(size <= kMaxWholeBody);
        held += size;
    }
    CHECK(held == AnswerMemory::kMaxBytes);
    CHECK(memory->taken() == held);
    bodies.pop_back();
    bodies.front()->clear();
    CHECK(bodies.back()->append(piece));
    bodies.clear();
    CHECK(memory->taken() == 0);
}

TEST_CASE("The bytes of a body that was taken count until it is cleared") {
    const auto memory = std::make_shared<AnswerMemory>();
    CollectedBody body(memory);
    REQUIRE(body.append("abc"));
    CHECK(body.take() == "abc");
    CHECK(memory->taken() == 3);
    body.clear();
    CHECK(memory->taken() == 0);
}

// A box that ended with a request open had its memory released by the body afterwards.
TEST_CASE("A collected body may outlive the box whose memory it takes") {
    auto memory = std::make_shared<AnswerMemory>();
    const std::weak_ptr<AnswerMemory> watched = memory;
    auto body = std::make_unique<CollectedBody>(std::move(memory));
    REQUIRE(body->append("abc"));
    CHECK_FALSE(watched.expired());
    body.reset();
    CHECK(watched.expired());
}
