#include "include/relay/AttemptBounds.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

constexpr Millis kStall = 1500;
const MonoTime kNow{1000};
const AttemptWait kEarlierAttempt{true, {11000}};
const AttemptWait kLastAttempt{false, {11000}};

}  // namespace

TEST_CASE("Connection timeouts are a part of the route's objective, within fixed bounds") {
    const ConnectionBounds urgent = ConnectionBounds::ForObjective(100, 300);
    CHECK(urgent.connect == 100);
    CHECK(urgent.unacknowledged == 300);
    const ConnectionBounds patient = ConnectionBounds::ForObjective(1200, 300);
    CHECK(patient.connect == 300);
    CHECK(patient.unacknowledged == 600);
    CHECK(ConnectionBounds::ForObjective(10000, 300).unacknowledged == 700);
    // The configured maximum applies even if it is below `kMinConnect`.
    CHECK(ConnectionBounds::ForObjective(1200, 50).connect == 50);
}

TEST_CASE("The last attempt waits until the deadline; an earlier one leaves time for a retry") {
    for (const bool stream : {false, true}) {
        CHECK(FirstByteDeadline(kLastAttempt, 200, stream, kStall, kNow) == kLastAttempt.deadline);
        CHECK(FirstByteDeadline(kEarlierAttempt, 200, stream, kStall, kNow) <
              kEarlierAttempt.deadline);
    }
    CHECK(NextPieceDeadline(kLastAttempt, kStall, kNow) == kLastAttempt.deadline);
    CHECK(NextPieceDeadline(kEarlierAttempt, kStall, kNow) == kNow + kStall);
}

TEST_CASE(
    "A first byte gets half of the time left or the stall timeout, at least twice the objective") {
    CHECK(FirstByteDeadline(kEarlierAttempt, 200, false, kStall, kNow) == MonoTime{6000});
    CHECK(FirstByteDeadline(kEarlierAttempt, 200, true, kStall, kNow) == MonoTime{2500});
    CHECK(FirstByteDeadline(kEarlierAttempt, 1000, true, kStall, kNow) == MonoTime{3000});
    CHECK(FirstByteDeadline(kEarlierAttempt, 9000, true, kStall, kNow) == kEarlierAttempt.deadline);
}

TEST_CASE("An attempt starts only with the minimum time left before the deadline") {
    CHECK(HasTimeForAttempt(kNow + kMinAttemptTime, kNow));
    CHECK_FALSE(HasTimeForAttempt(kNow + (kMinAttemptTime - 1), kNow));
}
