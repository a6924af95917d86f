// Computes how often a box may send its digest, and when a link without digests counts as dead.
// Inputs: the number of neighbours, the size of a digest in bytes, the budget of control traffic in
// bytes per second.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace onyx {

// The period of the digests, in milliseconds: `minPeriod`, or longer, so that `peers` digests of
// `digestBytes` bytes each stay within `bytesPerSecond`. Preconditions: bytesPerSecond > 0.
// Thread safety: any thread.
Millis DigestPeriod(Millis minPeriod, size_t peers, size_t digestBytes, int64_t bytesPerSecond);

// How long a peer may send nothing before its link counts as dead, in milliseconds. `digestPeriod`:
// the period that the peer announced last, in milliseconds; 0 if none. Preconditions: none. Thread
// safety: any thread.
Millis SilenceTimeout(Millis digestPeriod);

}  // namespace onyx
