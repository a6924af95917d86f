// Time as the decisions see it. The decision modules own no clock: every event carries its time.
#pragma once

#include <compare>
#include <cstdint>

namespace onyx {

// Milliseconds. A span, never a point in time.
using Millis = int64_t;

// A point on a box's monotonic clock, which counts suspensions. Comparable only with points of the
// same box.
struct MonoTime {
    Millis ms = 0;

    friend auto operator<=>(MonoTime, MonoTime) = default;
    friend MonoTime operator+(MonoTime t, Millis d) { return {t.ms + d}; }
    friend MonoTime operator-(MonoTime t, Millis d) { return {t.ms - d}; }
    friend Millis operator-(MonoTime a, MonoTime b) { return a.ms - b.ms; }
};

// A point on the wall clock (milliseconds since the Unix epoch). Boxes and callers agree on it
// only up to the configured skew limit.
struct WallTime {
    Millis ms = 0;

    friend auto operator<=>(WallTime, WallTime) = default;
    friend WallTime operator+(WallTime t, Millis d) { return {t.ms + d}; }
    friend WallTime operator-(WallTime t, Millis d) { return {t.ms - d}; }
    friend Millis operator-(WallTime a, WallTime b) { return a.ms - b.ms; }
};

// The two clocks of one box, read together.
struct Now {
    MonoTime mono;
    WallTime wall;
};

}  // namespace onyx
