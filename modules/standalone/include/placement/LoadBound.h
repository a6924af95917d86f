// How much an engine may carry, as a multiple of the zone's mean load.
#pragma once

#include "include/base/Time.h"

namespace onyx {

// Settings of the bound, one set for each service.
struct BoundSettings {
    double multiple = 1.25;  // c: an engine may carry at most c times the mean.
    // Share of (c - 1) that admission uses. The mean falls under running work and is known late,
    // so admitting right up to c breaks the bound a moment later (docs/design/placement.md).
    double headroom = 0.6;
    int floor = 2;      // Below this many in flight the bound does not bind.
    int capacity = 32;  // Most that one engine may ever have in flight.
};

// Most requests that one engine may have in flight when the mean is `meanInFlight` (requests an
// engine): min(capacity, max(floor, ceil(c x mean))).
// Preconditions: meanInFlight >= 0. Thread safety: any thread.
int AllowedInFlight(const BoundSettings& settings, double meanInFlight);

// Up to how many in flight an engine is given new work: as above with the admission's part of c.
// Preconditions and thread safety as above.
int AdmittedInFlight(const BoundSettings& settings, double meanInFlight);

}  // namespace onyx
