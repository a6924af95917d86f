// How much an engine may carry, as a multiple of the zone's mean load.
#pragma once

#include "include/base/Time.h"

namespace onyx {

// Settings of the bound, one set for each service.
struct BoundSettings {
    double multiple = 1.25;  // c: an engine may carry at most c times the mean.
    int floor = 2;           // Below this many in flight the bound does not bind.
    int capacity = 32;       // Most that one engine may ever have in flight.
};

// Most requests that one engine may have in flight when the zone's mean is `meanInFlight`
// (requests an engine): min(capacity, max(floor, ceil(c x mean))).
// Preconditions: meanInFlight >= 0. Thread safety: any thread.
int AllowedInFlight(const BoundSettings& settings, double meanInFlight);

}  // namespace onyx
