#include "include/admission/RecentRate.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("The rate is that of the last steps") {
    RecentRate rate(50);
    for (Millis t = 0; t < 5000; t += 10) {
        rate.add(2, MonoTime{t});
    }
    CHECK(rate.perSecond(MonoTime{4999}) == Approx(200).epsilon(0.02));
    CHECK(rate.perSecond(MonoTime{5300}) == Approx(100).epsilon(0.1));
    CHECK(rate.perSecond(MonoTime{5650}) == 0);
}

TEST_CASE("A long silence leaves nothing") {
    RecentRate rate(50);
    rate.add(5, MonoTime{100});
    CHECK(rate.perSecond(MonoTime{1'000'000'000}) == 0);
    rate.add(6, MonoTime{1'000'000'000});
    CHECK(rate.perSecond(MonoTime{1'000'000'000}) > 0);
}
