// Routes messages about a key so that all of them reach the same box, however many boxes there are
// and whichever of them sent the messages: boxes and keys have places on a hash ring, and each box
// forwards a message to linked boxes that are closer to the key. Boxes are linked to the boxes near
// them on the same ring (BoxDirectory), so a route takes a few hops.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace onyx {

// The linked boxes that are closer to `key` than this box, closest first, at most `count`; none if
// this box is the closest. `self`: address of this box. Preconditions: none.
// Thread safety: any thread.
std::vector<std::string> CloserBoxes(std::span<const std::string> linked, const std::string& self,
                                     uint64_t key, size_t count);

}  // namespace onyx
