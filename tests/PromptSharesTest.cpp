#include "include/placement/PromptShares.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE(
    "A prompt requested again within seconds has a share of the requests, and others have none") {
    PromptShares shares;
    for (uint32_t i = 0; i < 32; ++i) {
        const bool hot = i % 8 == 0;
        shares.note(hot ? 1000 : i, {i * 100});
    }
    // Four of 32 requests, of which the first is not counted.
    CHECK(shares.share(1000, {3200}) == Approx(3.0 / 32));
    CHECK(shares.share(7, {3200}) == 0);
    CHECK(shares.share(5000, {3200}) == 0);
    // Requests older than kWindow are not counted, even if note() has not been called since.
    CHECK(shares.share(1000, {3200 + PromptShares::kWindow}) == 0);
}

TEST_CASE("The first requests of a box do not give a prompt a large share") {
    PromptShares shares;
    shares.note(1, {0});
    CHECK(shares.share(1, {0}) == 0);
    shares.note(1, {10});
    CHECK(shares.share(1, {10}) == Approx(1.0 / PromptShares::kMinRequests));
}

TEST_CASE("The number of requests kept is bounded") {
    PromptShares shares;
    for (uint32_t i = 0; i < 3 * PromptShares::kCapacity; ++i) {
        shares.note(i % 2, {0});
    }
    CHECK(shares.share(0, {0}) == Approx(0.5).margin(0.001));
    shares.note(7, {0});
    shares.note(7, {0});
    CHECK(shares.share(7, {0}) == Approx(1.0 / PromptShares::kCapacity));
}
