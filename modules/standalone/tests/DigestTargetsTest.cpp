#include "include/membership/DigestPeriod.h"
#include "modules/standalone/include/membership/DigestTargets.h"

#include <catch2/catch.hpp>

#include <map>

using namespace onyx;

// Found by a simulation at the target's size: chosen by rendezvous, one box heard from 8 of 340
// boxes, took the mean for too low and refused requests for a whole minute.
TEST_CASE("Every box sends its digests to as many boxes as it hears from") {
    constexpr size_t kBoxes = 340;
    constexpr size_t kMost = 16;
    std::vector<MemberId> boxes;
    for (size_t i = 0; i < kBoxes; ++i) {
        boxes.emplace_back("box" + std::to_string(i));
    }
    std::map<size_t, size_t> heard;
    for (size_t box = 0; box < kBoxes; ++box) {
        std::vector<MemberId> others = boxes;
        others.erase(others.begin() + static_cast<ptrdiff_t>(box));
        const auto targets = DigestTargets(boxes[box], others, kMost);
        CHECK(targets.size() == kMost);
        for (const size_t target : targets) {
            ++heard[target < box ? target : target + 1];
        }
    }
    for (size_t box = 0; box < kBoxes; ++box) {
        CHECK(heard[box] == kMost);
    }
}
