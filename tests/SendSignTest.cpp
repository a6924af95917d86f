#include "include/gateway/AttemptBounds.h"
#include "include/gateway/SendSign.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("A send over a way that is cut has its upstream ejected at once, silence does not") {
    for (const SendEnd end : {SendEnd::kUnclear, SendEnd::kStreamBroken}) {
        UpstreamHealth cut{HealthSettings()};
        CHECK(cut.note("u", *SignOfSend(end, true), {0}, {700}));
        CHECK(cut.isEjected("u", {701}));
        UpstreamHealth silent{HealthSettings()};
        CHECK_FALSE(silent.note("u", *SignOfSend(end, false), {0}, {700}));
    }
}

TEST_CASE("A send that an upstream declined says nothing of its health") {
    CHECK_FALSE(SignOfSend(SendEnd::kDeclined, false).has_value());
    CHECK_FALSE(SignOfSend(SendEnd::kMisdirected, false).has_value());
}

TEST_CASE("An attempt finds a silent upstream in a part of the route's objective") {
    const AttemptBounds urgent = AttemptBounds::For(100, 300);
    CHECK(urgent.connect == 100);
    CHECK(urgent.unacknowledged == 300);
    const AttemptBounds patient = AttemptBounds::For(1200, 300);
    CHECK(patient.connect == 300);
    CHECK(patient.unacknowledged == 600);
    CHECK(AttemptBounds::For(10000, 300).unacknowledged == 700);
    // The setting is the most, also below the usual least.
    CHECK(AttemptBounds::For(1200, 50).connect == 50);
}
