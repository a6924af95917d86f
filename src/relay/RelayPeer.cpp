#include "include/relay/RelayPeer.h"

#include <algorithm>
#include <vector>

namespace onyx {

std::optional<size_t> ChooseRelayPeer(std::span<const RelayCandidate> candidates, uint64_t draw) {
    std::vector<size_t> usable;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const RelayCandidate& box = candidates[i];
        if (box.reachesService && box.allowed && !box.tried) {
            usable.push_back(i);
        }
    }
    const auto isNear = [&](size_t i) { return candidates[i].sameZone; };
    if (std::any_of(usable.begin(), usable.end(), isNear)) {
        std::erase_if(usable, [&](size_t i) { return !isNear(i); });
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const size_t first = usable[draw % usable.size()];
    const size_t second = usable[(draw / usable.size()) % usable.size()];
    return candidates[second].relayed < candidates[first].relayed ? second : first;
}

}  // namespace onyx
