// How long one attempt may find no sign of life of its upstream's machine before it is given up,
// from the route's latency objective: what is left of it is what another upstream can be tried in.
#pragma once

#include "include/base/Time.h"

#include <algorithm>

namespace onyx {

// All times in milliseconds.
struct AttemptBounds {
    // Several round trips between regions (24 ms). A packet lost while a connection opens is sent
    // again after a second only, so waiting a little longer gains nothing.
    static constexpr Millis kMinConnect = 100;
    // A lost packet is sent again after 200 ms: the second time it is lost the way is cut, or as
    // bad. The most outlasts a third one, for objectives that leave the time.
    static constexpr Millis kMinUnacknowledged = 300;
    static constexpr Millis kMaxUnacknowledged = 700;

    Millis connect = kMinConnect;                // For a new connection to open.
    Millis unacknowledged = kMaxUnacknowledged;  // For bytes sent to be acknowledged.

    // Bounds for a route with this objective; connections get at most `maxConnect`.
    // Preconditions: objective >= 0. Thread safety: any thread.
    static AttemptBounds For(Millis objective, Millis maxConnect) {
        AttemptBounds bounds;
        bounds.connect = std::min(maxConnect, std::max(kMinConnect, objective / 4));
        bounds.unacknowledged = std::clamp(objective / 2, kMinUnacknowledged, kMaxUnacknowledged);
        return bounds;
    }
};

}  // namespace onyx
