// Which box handles the requests of a box that reaches no upstream.
#include "include/relay/RelayPeer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace onyx;

namespace {

RelayCandidate Box(const std::string& address, bool sameZone) {
    RelayCandidate box;
    box.address = address;
    box.sameZone = sameZone;
    return box;
}

}  // namespace

TEST_CASE("A box of the same zone handles relayed requests before boxes of other zones") {
    std::vector<RelayCandidate> boxes = {Box("far", false), Box("near", true)};
    for (uint64_t draw = 0; draw < 10; ++draw) {
        CHECK(ChooseRelayPeer(boxes, draw) == 1u);
    }
    boxes[1].reachesService = false;
    CHECK(ChooseRelayPeer(boxes, 0) == 0u);
}

// Guards against requests that leave the regions of their route or team, or go to a box twice.
TEST_CASE("No box handles a relayed request that may not be in its region or that it refused") {
    std::vector<RelayCandidate> boxes = {Box("a", true), Box("b", true)};
    boxes[0].allowed = false;
    boxes[1].tried = true;
    CHECK_FALSE(ChooseRelayPeer(boxes, 0));
    CHECK_FALSE(ChooseRelayPeer({}, 7));
}

// Answers a pattern of load: all boxes of a partitioned zone relay to the few that are left.
// Each box sees only its own relayed requests. Counted over the links that a box of a large site
// has, for sites of 295, 985 and 1,970 boxes of which a zone is cut off.
TEST_CASE("The requests of a partitioned zone are spread over the boxes that are left") {
    const size_t boxes = GENERATE(295, 985, 1970);
    constexpr size_t kLinks = 32;
    constexpr size_t kRequestsPerBox = 20;
    const size_t cut = boxes / 3;
    std::mt19937_64 random(boxes);
    std::vector<size_t> taken(boxes, 0);
    for (size_t box = 0; box < cut; ++box) {
        std::vector<size_t> linked;
        for (size_t i = 0; i < kLinks; ++i) {
            linked.push_back(random() % boxes);
        }
        std::vector<RelayCandidate> candidates;
        for (const size_t peer : linked) {
            candidates.push_back(Box(std::to_string(peer), peer < cut));
            candidates.back().reachesService = peer >= cut;
        }
        for (size_t i = 0; i < kRequestsPerBox; ++i) {
            const auto chosen = ChooseRelayPeer(candidates, random());
            REQUIRE(chosen);
            ++candidates[*chosen].relayed;
            ++taken[linked[*chosen]];
        }
    }
    CHECK(std::all_of(taken.begin(), taken.begin() + static_cast<ptrdiff_t>(cut),
                      [](size_t count) { return count == 0; }));
    const double mean =
        static_cast<double>(cut * kRequestsPerBox) / static_cast<double>(boxes - cut);
    const size_t most = *std::max_element(taken.begin(), taken.end());
    CHECK(static_cast<double>(most) < 4 * mean);
}
