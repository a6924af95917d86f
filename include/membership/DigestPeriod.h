// Decides how often a box may announce its digest, and when a link that brings none is dead.
// Inputs: the neighbours, the size of a digest in bytes, the budget of control bytes a second.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace onyx {

// The period of the digests, in milliseconds: `wanted`, stretched until `peers` digests of `bytes`
// each fit in `budget` bytes a second. Preconditions: budget > 0. Thread safety: any thread.
Millis DigestPeriod(Millis wanted, size_t peers, size_t bytes, int64_t budget);

// How long a box may say nothing before its link counts as dead, in milliseconds. `digestPeriod`:
// the period that it announced last, 0 if none. Preconditions: none. Thread safety: any thread.
Millis SilenceBound(Millis digestPeriod);

}  // namespace onyx
