#include "modules/standalone/include/placement/ZoneLoads.h"

#include <algorithm>

namespace onyx {

void ZoneLoads::put(const MemberId& box, uint64_t sequence, std::span<const EngineLoad> loads,
                    MonoTime now) {
    Digest& digest = m_boxes[box];
    if (sequence <= digest.sequence) {
        return;
    }
    digest.sequence = sequence;
    digest.at = now;
    digest.loads.assign(loads.begin(), loads.end());
    for (size_t i = 0; i < digest.loads.size(); ++i) {
        m_byEngine[digest.loads[i].engine] = {box, i};
    }
}

ZoneTotal ZoneLoads::total(std::span<const EngineLoad> own, MonoTime now) const {
    ZoneTotal total;
    std::unordered_map<EngineId, int> counted;
    const auto count = [&](const EngineLoad& load) {
        const auto [it, added] = counted.try_emplace(load.engine, load.load);
        if (added) {
            ++total.engines;
            total.inFlight += load.load;
        } else if (load.load > it->second) {
            total.inFlight += load.load - it->second;
            it->second = load.load;
        }
    };
    for (const EngineLoad& load : own) {
        count(load);
    }
    for (const auto& [box, digest] : m_boxes) {
        if (now - digest.at > m_maxAge) {
            continue;
        }
        for (const EngineLoad& load : digest.loads) {
            count(load);
        }
    }
    return total;
}

const EngineLoad* ZoneLoads::fresh(const EngineId& engine, MonoTime now) const {
    const auto seen = m_byEngine.find(engine);
    if (seen == m_byEngine.end()) {
        return nullptr;
    }
    const auto box = m_boxes.find(seen->second.box);
    if (box == m_boxes.end() || now - box->second.at > m_maxAge) {
        return nullptr;
    }
    if (seen->second.index >= box->second.loads.size()) {
        return nullptr;
    }
    const EngineLoad& load = box->second.loads[seen->second.index];
    return load.engine == engine ? &load : nullptr;
}

bool ZoneLoads::saidFull(const EngineId& engine, MonoTime now) const {
    const EngineLoad* load = fresh(engine, now);
    return load != nullptr && load->full;
}

}  // namespace onyx
