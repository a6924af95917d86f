// The one place that reads the system's clocks. Their choice matters where a machine is suspended:
// CLOCK_MONOTONIC, and with it std::chrono::steady_clock, does not count that time, CLOCK_BOOTTIME
// does.
#pragma once

#include "include/base/Time.h"

#include <ctime>

namespace onyx {

// What a clock shows, in milliseconds. Preconditions: the system has the clock.
// Thread safety: any thread.
Millis ReadSystemClock(clockid_t clock);

// For stand-ins: lets a clock of this process show `by` milliseconds more from now on.
// Preconditions: by >= 0. Thread safety: any thread.
void ShiftSystemClock(clockid_t clock, Millis by);

}  // namespace onyx
