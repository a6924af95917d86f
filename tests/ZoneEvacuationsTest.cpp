#include "include/health/ZoneEvacuations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace onyx;

namespace {

const ZoneId kZone("near");

EvacuationChanges AllOrders(uint64_t revision, std::vector<std::string> zones) {
    return {true, revision, std::move(zones), {}};
}

}  // namespace

TEST_CASE("A zone is evacuated from its order until the order is withdrawn") {
    ZoneEvacuations orders;
    CHECK_FALSE(orders.isEvacuated(kZone, 0, {0}));
    CHECK(orders.applyChanges({false, 2, {"near"}, {}}, false, {0}).begun.size() == 1);
    CHECK(orders.isEvacuated(kZone, 0, {60000}));
    CHECK_FALSE(orders.isEvacuated(ZoneId("far"), 0, {60000}));
    CHECK(orders.applyChanges({false, 3, {}, {"near"}}, false, {70000}).ended.size() == 1);
    CHECK_FALSE(orders.isEvacuated(kZone, 0, {70001}));
}

// Guards against requests to upstreams that became cold while their zone was evacuated, sent by a
// box that has no upstream list that says so yet.
TEST_CASE("A zone whose order was withdrawn stays excluded until a newer upstream list arrives") {
    ZoneEvacuations orders;
    orders.applyChanges(AllOrders(2, {"near"}), false, {0});
    orders.applyChanges(AllOrders(3, {}), false, {10000});
    CHECK(orders.isEvacuated(kZone, 700, {10500}));
    CHECK_FALSE(orders.isEvacuated(kZone, 400, {10500}));
    CHECK(orders.isEvacuated(kZone, std::nullopt, {10500}));
    CHECK_FALSE(orders.isEvacuated(kZone, 60000, {10000 + ZoneEvacuations::kMaxReturnDelayMs}));
}

TEST_CASE("A lower revision is ignored unless the store was restored") {
    ZoneEvacuations orders;
    orders.applyChanges(AllOrders(5, {"near"}), false, {0});
    orders.applyChanges(AllOrders(4, {}), false, {100});
    CHECK(orders.isEvacuated(kZone, 0, {200}));
    orders.applyChanges(AllOrders(4, {}), true, {300});
    CHECK(orders.zones().empty());
    CHECK(orders.revision() == 4);
}

// In whatever sequence the orders arrive, each box has the store's state once it has received the
// newest revision.
TEST_CASE("Orders received in any sequence lead to the newest state") {
    std::minstd_rand random(7);
    const std::vector<std::string> zones = {"a", "b", "c"};
    for (int run = 0; run < 200; ++run) {
        std::vector<EvacuationChanges> history;
        std::vector<std::string> inForce;
        for (uint64_t revision = 1; revision <= 8; ++revision) {
            const std::string& zone = zones[random() % zones.size()];
            const auto it = std::find(inForce.begin(), inForce.end(), zone);
            if (it == inForce.end()) {
                inForce.push_back(zone);
            } else {
                inForce.erase(it);
            }
            history.push_back(AllOrders(revision, inForce));
        }
        ZoneEvacuations orders;
        std::shuffle(history.begin(), history.end(), random);
        for (const EvacuationChanges& received : history) {
            orders.applyChanges(received, false, {static_cast<Millis>(run)});
        }
        CHECK(orders.zones() == std::set<std::string>(inForce.begin(), inForce.end()));
    }
}
