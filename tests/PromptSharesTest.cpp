#include "include/placement/PromptShares.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("A prompt that comes again within seconds is a share of the requests, others are none") {
    PromptShares shares;
    for (uint32_t i = 0; i < 32; ++i) {
        const bool hot = i % 8 == 0;
        shares.note(hot ? 1000 : i, {i * 100});
    }
    // Four of 32, the first of which says nothing.
    CHECK(shares.share(1000, {3200}) == Approx(3.0 / 32));
    CHECK(shares.share(7, {3200}) == 0);
    CHECK(shares.share(5000, {3200}) == 0);
    // What is older than the window counts no more, noted since or not.
    CHECK(shares.share(1000, {3200 + PromptShares::kWindow}) == 0);
}

TEST_CASE("The first requests of a box make no prompt a large share") {
    PromptShares shares;
    shares.note(1, {0});
    CHECK(shares.share(1, {0}) == 0);
    shares.note(1, {10});
    CHECK(shares.share(1, {10}) == Approx(1.0 / PromptShares::kMinRequests));
}

TEST_CASE("Prompts remembered are bounded, whatever comes") {
    PromptShares shares;
    for (uint32_t i = 0; i < 3 * PromptShares::kCapacity; ++i) {
        shares.note(i % 2, {0});
    }
    CHECK(shares.share(0, {0}) == Approx(0.5).margin(0.001));
    shares.note(7, {0});
    shares.note(7, {0});
    CHECK(shares.share(7, {0}) == Approx(1.0 / PromptShares::kCapacity));
}
