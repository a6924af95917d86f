#include "include/observe/Burn.h"
#include "include/observe/Metrics.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("Burn is the bad share over the share that the objective allows") {
    Metrics metrics;
    const MetricLabels labels = {{"service", "m"}, {"team", "norte"}, {"priority", "urgent"}};
    metrics.count("onyx_slo_total", labels, 1000);
    metrics.count("onyx_slo_bad_total", labels, 100);
    SloCounts counts;
    AddSloCounts(metrics.text(), counts);
    REQUIRE(counts.size() == 1);
    const SloCount count = counts.begin()->second;
    CHECK(counts.begin()->first.team == "norte");
    CHECK(count.total == 1000);
    CHECK(BurnRate(count, 0.95) == Approx(2.0));
    CHECK(BurnVerdict({counts.begin()->first, 0.95, count, count}) == "ok");
    CHECK(BurnVerdict({counts.begin()->first, 0.99, count, count}) == "ticket");
}

TEST_CASE("A box that started anew counts from zero") {
    const SloKey key{"m", "norte", "normal"};
    const SloCounts between = SloBetween({{key, {900, 9}}}, {{key, {50, 1}}});
    CHECK(between.at(key).total == 50);
    CHECK(between.at(key).bad == 1);
}
