// Decides how often a box may announce its digest, and when a link that brings none is dead.
// Inputs: the neighbours, the size of a digest in digestBytes, the bytesPerSecond of control
// digestBytes a second.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace onyx {

// The period of the digests, in milliseconds: `minPeriod`, stretched until `peers` digests of
// `digestBytes` each fit in `bytesPerSecond` digestBytes a second. Preconditions: bytesPerSecond >
// 0. Thread safety: any thread.
Millis DigestPeriod(Millis minPeriod, size_t peers, size_t digestBytes, int64_t bytesPerSecond);

// How long a box may say nothing before its link counts as dead, in milliseconds. `digestPeriod`:
// the period that it announced last, 0 if none. Preconditions: none. Thread safety: any thread.
Millis SilenceTimeout(Millis digestPeriod);

}  // namespace onyx
