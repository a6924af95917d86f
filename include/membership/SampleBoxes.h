// Decides which few of many boxes are told something in one round. What each box passes on to a few
// that it draws anew reaches all of them within some rounds, however many there are.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace onyx {

// `count` of the boxes, or all if there are fewer. `self`: the address of the box that draws, so
// that not all draw the same ones. Preconditions: none. Thread safety: any thread.
std::vector<std::string> SampleBoxes(std::vector<std::string> boxes, size_t count,
                                     const std::string& self, uint64_t round);

}  // namespace onyx
