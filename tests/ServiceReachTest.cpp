// When a box takes the network to the upstreams of a service as lost.
#include "include/health/ServiceReach.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

const ServiceId kModel("model");
const ServiceId kPlain("plain");
constexpr size_t kMany = 10000;  // Upstreams of the largest services.

}  // namespace

TEST_CASE("A service is lost after three of its upstreams, and is back with a new connection") {
    ServiceReach reach;
    CHECK_FALSE(reach.noteUnreached(kModel, "a", kMany, {0}));
    CHECK_FALSE(reach.noteUnreached(kModel, "a", kMany, {10}));
    CHECK_FALSE(reach.noteUnreached(kModel, "b", kMany, {20}));
    CHECK(reach.noteUnreached(kModel, "c", kMany, {30}));
    CHECK(reach.isLost(kModel));
    CHECK(reach.lost() == std::vector<ServiceId>{kModel});
    CHECK_FALSE(reach.noteUnreached(kModel, "d", kMany, {40}));
    CHECK(reach.noteConnected(kModel));
    CHECK_FALSE(reach.isLost(kModel));
    CHECK_FALSE(reach.noteConnected(kModel));
}

// Guards against boxes that take crashed upstreams for a fault of their own network.
TEST_CASE("Upstreams that fail while others take connections do not make a service lost") {
    ServiceReach reach;
    for (int i = 0; i < 100; ++i) {
        const MonoTime now{i * 10};
        CHECK_FALSE(reach.noteUnreached(kModel, "a" + std::to_string(i), kMany, now));
        CHECK_FALSE(reach.noteUnreached(kModel, "b" + std::to_string(i), kMany, now));
        reach.noteConnected(kModel);
    }
}

TEST_CASE("Failures that lie far apart do not make a service lost") {
    ServiceReach reach;
    for (int i = 0; i < 10; ++i) {
        const MonoTime now{i * (ServiceReach::kRetention + 1)};
        CHECK_FALSE(reach.noteUnreached(kModel, "a" + std::to_string(i), kMany, now));
    }
}

TEST_CASE("A service of few upstreams is lost when all of them are out of reach") {
    ServiceReach reach;
    CHECK(reach.noteUnreached(kModel, "only", 1, {0}));
    CHECK_FALSE(reach.noteUnreached(kPlain, "a", 2, {0}));
    CHECK(reach.noteUnreached(kPlain, "b", 2, {0}));
}

// Guards against one service's network deciding about another's.
TEST_CASE("Each service is lost and found on its own") {
    ServiceReach reach;
    reach.noteUnreached(kModel, "a", 1, {0});
    reach.noteUnreached(kPlain, "b", 1, {0});
    CHECK(reach.noteConnected(kModel));
    CHECK_FALSE(reach.isLost(kModel));
    CHECK(reach.isLost(kPlain));
}
