// For how long a box sends nothing to a brittle upstream that turned a request away.
#include "include/health/BrittleUpstreams.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("All boxes together cause at most half of the refusals that a brittle upstream bears") {
    const size_t boxes = GENERATE(1, 6, 73, 295, 985, 1970);
    const int bearable = GENERATE(1, 4, 30);
    BrittleUpstreams brittle;
    brittle.note({"a", 5}, bearable);
    const auto pause = brittle.pauseAfterRefusal({"a", 5}, boxes);
    REQUIRE(pause);
    const double refusals = 1000.0 * static_cast<double>(boxes) / static_cast<double>(*pause);
    CHECK(refusals <= 0.5 * bearable);
}

TEST_CASE("An upstream is brittle until an answer does not say so, or it starts again") {
    BrittleUpstreams brittle;
    CHECK_FALSE(brittle.isBrittle({"a", 5}));
    brittle.note({"a", 5}, 4);
    CHECK(brittle.isBrittle({"a", 5}));
    CHECK_FALSE(brittle.isBrittle({"b", 5}));
    CHECK_FALSE(brittle.isBrittle({"a", 6}));
    brittle.note({"a", 5}, std::nullopt);
    CHECK_FALSE(brittle.isBrittle({"a", 5}));
    CHECK_FALSE(brittle.hasRecords());
}

TEST_CASE("Upstreams beyond the bound on records are taken for sound") {
    BrittleUpstreams brittle;
    for (size_t i = 0; i <= BrittleUpstreams::kMaxUpstreams; ++i) {
        brittle.note({"u" + std::to_string(i), 1}, 4);
    }
    CHECK(brittle.isBrittle({"u0", 1}));
    CHECK_FALSE(brittle.isBrittle({"u" + std::to_string(BrittleUpstreams::kMaxUpstreams), 1}));
}
