#include "include/membership/RingRoute.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

uint64_t RingDistance(const std::string& box, uint64_t key) {
    const uint64_t ahead = HashText(box) - key;
    return std::min(ahead, uint64_t{0} - ahead);
}

}  // namespace

std::vector<std::string> CloserBoxes(std::span<const std::string> linked, const std::string& self,
                                     uint64_t key, size_t count) {
    const uint64_t own = RingDistance(self, key);
    std::vector<std::pair<uint64_t, const std::string*>> closer;
    for (const std::string& box : linked) {
        const uint64_t distance = RingDistance(box, key);
        if (distance < own) {
            closer.emplace_back(distance, &box);
        }
    }
    std::sort(closer.begin(), closer.end());
    closer.resize(std::min(count, closer.size()));
    std::vector<std::string> boxes;
    boxes.reserve(closer.size());
    for (const auto& [distance, box] : closer) {
        boxes.push_back(*box);
    }
    return boxes;
}

}  // namespace onyx
