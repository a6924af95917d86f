#include "include/placement/LoadBound.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("The bound is the ceiling of c times the mean, between floor and capacity") {
    const BoundSettings settings{1.25, 2, 32};
    CHECK(AllowedInFlight(settings, 0) == 2);
    CHECK(AllowedInFlight(settings, 4) == 5);
    CHECK(AllowedInFlight(settings, 4.1) == 6);
    CHECK(AllowedInFlight(settings, 100) == 32);
}
