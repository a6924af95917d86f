// Time types for the decision modules. These modules read no clock: the time is passed with each
// event.
#pragma once

#include <compare>
#include <cstdint>

namespace onyx {

// A duration in milliseconds, never a point in time.
using Millis = int64_t;

// A point in time on a box's monotonic clock, which also advances during suspension. Comparable
// only with points of the same box.
struct MonoTime {
    Millis ms = 0;

    friend auto operator<=>(MonoTime, MonoTime) = default;
    friend MonoTime operator+(MonoTime t, Millis d) { return {t.ms + d}; }
    friend MonoTime operator-(MonoTime t, Millis d) { return {t.ms - d}; }
    friend Millis operator-(MonoTime a, MonoTime b) { return a.ms - b.ms; }
};

// A point in time on the wall clock, in milliseconds since the Unix epoch. The clocks of boxes and
// callers may differ by up to the configured skew limit.
struct WallTime {
    Millis ms = 0;

    friend auto operator<=>(WallTime, WallTime) = default;
    friend WallTime operator+(WallTime t, Millis d) { return {t.ms + d}; }
    friend WallTime operator-(WallTime t, Millis d) { return {t.ms - d}; }
    friend Millis operator-(WallTime a, WallTime b) { return a.ms - b.ms; }
};

// The two clocks of one box, read at the same time.
struct Now {
    MonoTime mono;
    WallTime wall;
};

}  // namespace onyx
