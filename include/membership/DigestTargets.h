// Which boxes get this box's digest. Loads are balanced already, so a sample of them tells the mean
// well: a fixed number of targets keeps the control traffic of a box the same in any fleet.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <span>
#include <vector>

namespace onyx {

// Indices of the `most` boxes among `others` that get the digests of `self`; stable while the
// boxes are. Preconditions: none. Thread safety: any thread.
std::vector<size_t> DigestTargets(const MemberId& self, std::span<const MemberId> others,
                                  size_t most);

// Bytes a digest may take, and so how often it may be sent. Preconditions: budget > 0.
// Returns the period: `wanted`, stretched until `peers` digests of `bytes` each fit in `budget`
// bytes a second. Thread safety: any thread.
Millis DigestPeriod(Millis wanted, size_t peers, size_t bytes, int64_t budget);

// How long a box may say nothing before its link counts as dead. `promised`: the period of its
// digests that it told last, 0 if it told none. Preconditions: none. Thread safety: any thread.
Millis SilenceBound(Millis promised);

}  // namespace onyx
