#include "include/health/AttemptHealthSignal.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("An unreachable machine ejects its upstream at once, a single silent attempt does not") {
    for (const AttemptEnd end : {AttemptEnd::kUnclear, AttemptEnd::kStreamBroken}) {
        UpstreamHealth cut{HealthSettings()};
        CHECK(cut.note("u", *AttemptHealthSignal(end, true), {0}, {700}));
        CHECK(cut.isEjected("u", {701}));
        UpstreamHealth silent{HealthSettings()};
        CHECK_FALSE(silent.note("u", *AttemptHealthSignal(end, false), {0}, {700}));
    }
}

TEST_CASE("An attempt that the upstream declined gives no health signal") {
    CHECK_FALSE(AttemptHealthSignal(AttemptEnd::kDeclined, false).has_value());
    CHECK_FALSE(AttemptHealthSignal(AttemptEnd::kMisdirected, false).has_value());
}
