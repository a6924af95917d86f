// Which boxes get this box's digest. Loads are balanced already, so a sample of them tells the mean
// well: a fixed number of targets keeps the control traffic of a box the same in any fleet.
#pragma once

#include "include/base/Ids.h"

#include <span>
#include <vector>

namespace onyx {

// Indices of the `most` boxes among `others` that get the digests of `self`; stable while the
// boxes are. Preconditions: none. Thread safety: any thread.
std::vector<size_t> DigestTargets(const MemberId& self, std::span<const MemberId> others,
                                  size_t most);

}  // namespace onyx
