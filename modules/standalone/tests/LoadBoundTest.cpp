#include "modules/standalone/include/placement/LoadBound.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("The bound is the ceiling of c times the mean, between floor and capacity") {
    const BoundSettings settings{1.25, 0.6, 2, 32};
    CHECK(AllowedInFlight(settings, 0) == 2);
    CHECK(AllowedInFlight(settings, 4) == 5);
    CHECK(AllowedInFlight(settings, 4.1) == 6);
    CHECK(AllowedInFlight(settings, 100) == 32);
}

TEST_CASE("Admission stops short of the bound, so that a falling mean does not break it") {
    const BoundSettings settings{1.25, 0.6, 2, 32};
    CHECK(AdmittedInFlight(settings, 20) == 23);
    CHECK(AllowedInFlight(settings, 20) == 25);
    CHECK(AdmittedInFlight(settings, 0) == 2);
    CHECK(AdmittedInFlight(settings, 100) == 32);
}
