#include "include/health/UpstreamAvoidance.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

const Incarnation kUpstream{"a", 1000};
const Incarnation kRestarted{"a", 2000};

}  // namespace

TEST_CASE("An upstream gets no requests until its requested backoff is over") {
    UpstreamAvoidance avoidance;
    CHECK_FALSE(avoidance.isAvoided(kUpstream, {0}));
    CHECK(avoidance.recordBackoff(kUpstream, {3000}, {0}));
    CHECK(avoidance.isAvoided(kUpstream, {2999}));
    CHECK(avoidance.remainingBackoff(kUpstream, {1000}) == 2000);
    CHECK_FALSE(avoidance.isAvoided(kUpstream, {3000}));
    CHECK_FALSE(avoidance.isAvoided({"b", 1000}, {1}));
}

// Guards against a later answer that shortens the backoff requested by an earlier one.
TEST_CASE("The longest of several requested backoffs holds") {
    UpstreamAvoidance avoidance;
    CHECK(avoidance.recordBackoff(kUpstream, {3000}, {0}));
    CHECK_FALSE(avoidance.recordBackoff(kUpstream, {1500}, {500}));
    CHECK(avoidance.isAvoided(kUpstream, {2999}));
    CHECK_FALSE(avoidance.recordBackoff(kUpstream, {4000}, {600}));
    CHECK(avoidance.isAvoided(kUpstream, {3999}));
    CHECK_FALSE(avoidance.recordBackoff(kUpstream, {5000}, {5000}));
}

TEST_CASE("A new incarnation of an upstream does not inherit the backoff of the one before") {
    UpstreamAvoidance avoidance;
    avoidance.recordBackoff(kUpstream, {9000}, {0});
    CHECK_FALSE(avoidance.isAvoided(kRestarted, {1}));
    CHECK(avoidance.isAvoided({"a", 0}, {1}));
    CHECK(avoidance.recordBackoff(kRestarted, {5000}, {100}));
    CHECK_FALSE(avoidance.isAvoided(kRestarted, {5000}));
    // A late answer of the incarnation before.
    CHECK_FALSE(avoidance.recordBackoff(kUpstream, {6000}, {5100}));
    CHECK_FALSE(avoidance.isAvoided(kRestarted, {5100}));
}

TEST_CASE(
    "An upstream that announced its shutdown gets no more requests, its next incarnation does") {
    UpstreamAvoidance avoidance;
    CHECK(avoidance.recordLeaving(kUpstream, {0}));
    CHECK_FALSE(avoidance.recordLeaving(kUpstream, {10}));
    constexpr Millis kDay = Millis{86400} * 1000;
    CHECK(avoidance.isAvoided(kUpstream, {kDay}));
    CHECK(avoidance.isLeaving(kUpstream));
    CHECK_FALSE(avoidance.remainingBackoff(kUpstream, {0}));
    CHECK_FALSE(avoidance.isAvoided(kRestarted, {0}));
    // A late answer of the incarnation before.
    CHECK(avoidance.recordBackoff(kRestarted, {500}, {20}));
    CHECK_FALSE(avoidance.recordLeaving(kUpstream, {30}));
    CHECK_FALSE(avoidance.isLeaving(kRestarted));
}

TEST_CASE("The number of records is bounded, and the newest ones are kept") {
    UpstreamAvoidance avoidance;
    for (size_t i = 0; i < 2 * UpstreamAvoidance::kMaxUpstreams; ++i) {
        const auto now = static_cast<Millis>(i);
        avoidance.recordBackoff({std::to_string(i), 1}, {1000000}, {now});
    }
    CHECK_FALSE(avoidance.isAvoided({"0", 1}, {10000}));
    CHECK(avoidance.isAvoided({std::to_string(2 * UpstreamAvoidance::kMaxUpstreams - 1), 1},
                              {10000}));
}
