// Selects the few boxes to which a message is sent in one round. A message that every box forwards
// to a few boxes, selected anew in each round, reaches all boxes within some rounds, however many
// there are.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace onyx {

// A pseudorandom sample of `count` of the boxes, or all if there are fewer. `self`: address of the
// box that selects, so that not all boxes select the same ones. `round`: its number, so that each
// round selects other ones. Preconditions: none. Thread safety: any thread.
std::vector<std::string> SampleBoxes(std::vector<std::string> boxes, size_t count,
                                     const std::string& self, uint64_t round);

}  // namespace onyx
