#include "modules/standalone/include/placement/RendezvousOrder.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

std::vector<uint32_t> RendezvousOrder(const ChatId& chat, std::span<const EngineId> engines,
                                      size_t most) {
    struct Scored {
        uint64_t score;
        uint32_t index;
    };
    const uint64_t key = HashText(chat.value);
    std::vector<Scored> scored;
    scored.reserve(engines.size());
    for (uint32_t i = 0; i < engines.size(); ++i) {
        scored.push_back({RendezvousScore(key, engines[i].value), i});
    }
    const auto better = [&](const Scored& a, const Scored& b) {
        return a.score != b.score ? a.score > b.score : engines[a.index] < engines[b.index];
    };
    const size_t kept = std::min(most, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(kept), scored.end(),
                      better);
    std::vector<uint32_t> order;
    order.reserve(kept);
    for (size_t i = 0; i < kept; ++i) {
        order.push_back(scored[i].index);
    }
    return order;
}

}  // namespace onyx
