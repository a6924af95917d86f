#include "include/health/BrittleUpstreams.h"

#include <algorithm>
#include <cmath>

namespace onyx {

void BrittleUpstreams::note(const Incarnation& upstream, std::optional<int> bearableRefusals) {
    if (!bearableRefusals) {
        m_records.erase(upstream.id);
    } else if (m_records.size() < kMaxUpstreams || m_records.contains(upstream.id)) {
        m_records[upstream.id] = {upstream.startedMs, *bearableRefusals};
    }
}

std::optional<Millis> BrittleUpstreams::pauseAfterRefusal(const Incarnation& upstream,
                                                          size_t boxes) const {
    const auto bearable = find(upstream);
    if (!bearable) {
        return std::nullopt;
    }
    constexpr double kSecond = 1000;
    const double planned = kPlannedFraction * std::max(1, *bearable);
    return static_cast<Millis>(std::ceil(kSecond * static_cast<double>(boxes) / planned));
}

// An upstream that has started again has not said anything yet.
std::optional<int> BrittleUpstreams::find(const Incarnation& upstream) const {
    const auto it = m_records.find(upstream.id);
    const bool known = it != m_records.end() && it->second.startedMs >= upstream.startedMs;
    return known ? std::optional<int>(it->second.bearableRefusals) : std::nullopt;
}

}  // namespace onyx
