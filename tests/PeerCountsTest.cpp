#include "include/placement/PeerCounts.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("Other boxes' counts add up while they are fresh") {
    PeerCounts peers;
    const uint32_t number = ShortHash("a");
    peers.take("box-1", {{number, 2}}, {0}, 1000);
    peers.take("box-2", {{number, 3}}, {500}, 1000);
    peers.expire({900});
    CHECK(peers.at("a") == 5);
    peers.expire({1200});
    CHECK(peers.at("a") == 3);
    CHECK(peers.boxes() == 1);
    peers.take("box-2", {{number, 0}}, {1300}, 1000);
    CHECK(peers.at("a") == 0);
    peers.forget("box-2");
    CHECK(peers.boxes() == 0);
    CHECK(peers.at("a") == 0);
}

// Found on a day of a site of 85 boxes (mostrador-norte-grown fresh-cf51, LIMIT): each box heard of
// 32 others, and took what they told for all that was in flight.
TEST_CASE("Boxes that tell nothing here are taken to be like those that do") {
    constexpr int kBoxes = 85;
    constexpr int kHeard = 32;
    constexpr int kLoad = 42;  // Of all boxes together, half a request each.
    PeerCounts peers;
    const uint32_t number = ShortHash("a");
    for (int box = 0; box < kHeard; ++box) {
        peers.take("box-" + std::to_string(box), {{number, box % 2}}, {0}, 1000);
    }
    peers.setShare(static_cast<double>(kHeard) / (kBoxes - 1));
    CHECK(peers.at("a") == kLoad);
}
