#include "include/membership/DigestPeriod.h"

#include <catch2/catch.hpp>

using namespace onyx;

// Found in the logs of a site of 85 boxes: the budget stretched the digests' period beyond the
// bound on silence, so sound links were closed and dialed again, 3,700 times in 75 s.
TEST_CASE("A link is not silent before the digest that its box announced is overdue") {
    const Millis period = DigestPeriod(100, 32, 500, 4000);
    CHECK(period == 4000);
    CHECK(SilenceTimeout(period) > 2 * period);
    CHECK(SilenceTimeout(0) == SilenceTimeout(100));
}
