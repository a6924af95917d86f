#include "include/membership/SampleBoxes.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

std::vector<std::string> SampleBoxes(std::vector<std::string> boxes, size_t count,
                                     const std::string& self, uint64_t round) {
    const uint64_t draw = RendezvousScore(round, self);
    const size_t drawn = std::min(count, boxes.size());
    std::partial_sort(boxes.begin(), boxes.begin() + static_cast<std::ptrdiff_t>(drawn),
                      boxes.end(), [&](const std::string& a, const std::string& b) {
                          return RendezvousScore(draw, a) > RendezvousScore(draw, b);
                      });
    boxes.resize(drawn);
    return boxes;
}

}  // namespace onyx
