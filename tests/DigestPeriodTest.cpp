#include "include/membership/DigestPeriod.h"

#include <catch2/catch.hpp>

using namespace onyx;

// Guards against a failure on a site of 85 boxes: the budget extended the period of the digests
// beyond the silence timeout, so working links were closed and dialed again, 3,700 times in 75 s.
TEST_CASE("A link does not count as dead before the next announced digest is overdue") {
    const Millis period = DigestPeriod(100, 32, 500, 4000);
    CHECK(period == 4000);
    CHECK(SilenceTimeout(period) > 2 * period);
    CHECK(SilenceTimeout(0) == SilenceTimeout(100));
}
