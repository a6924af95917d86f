#include "include/placement/PeerCounts.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("Other boxes' counts add up until they expire") {
    PeerCounts peers;
    const uint32_t number = ShortHash("a");
    peers.update("box-1", {{number, 2}}, {0}, 1000);
    peers.update("box-2", {{number, 3}}, {500}, 1000);
    peers.expire({900});
    CHECK(peers.at("a") == 5);
    peers.expire({1200});
    CHECK(peers.at("a") == 3);
    CHECK(peers.boxes() == 1);
    peers.update("box-2", {{number, 0}}, {1300}, 1000);
    CHECK(peers.at("a") == 0);
    peers.forget("box-2");
    CHECK(peers.boxes() == 0);
    CHECK(peers.at("a") == 0);
}

TEST_CASE("The counted share includes only boxes with an unexpired digest") {
    PeerCounts peers;
    peers.setSite(85, 32.0 / 84);
    CHECK(peers.isSample());
    // As after a start: no digest has been received yet.
    CHECK(peers.countedShare() == Approx(1.0 / 85));
    peers.update("box-1", {}, {0}, 1000);
    peers.update("box-2", {}, {500}, 1000);
    CHECK(peers.countedShare() == Approx(3.0 / 85));
    peers.expire({1200});
    CHECK(peers.countedShare() == Approx(2.0 / 85));
    // Digests of boxes that have left the list may still be counted.
    peers.setSite(1, 1);
    CHECK(peers.countedShare() == 1);
}
