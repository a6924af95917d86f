// What a box knows of the load in its availability zone: its own homes' exact counts and the
// digests of the other boxes. Only the mean comes from here, and hints which engines are full;
// the bound itself is enforced at each engine's home.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace onyx {

// Load of one engine as its home sees it.
struct EngineLoad {
    EngineId engine;
    int load = 0;
    bool full = false;  // The home had no room when the digest was made.
};

// Load over the engines of a zone.
struct ZoneTotal {
    int64_t inFlight = 0;
    int64_t engines = 0;

    // Mean in flight an engine with `arriving` more requests; 0 with no engine.
    // Preconditions: none. Thread safety: any thread.
    double mean(int arriving = 0) const {
        const auto requests = static_cast<double>(inFlight + arriving);
        return engines == 0 ? 0.0 : requests / static_cast<double>(engines);
    }
};

// Collects digests by box. Not thread safe: one task owns it.
class ZoneLoads {
public:
    // Digests older than `maxAge` no longer count. Preconditions: maxAge > 0.
    explicit ZoneLoads(Millis maxAge) : m_maxAge(maxAge) {}

    // Takes a digest. One with a sequence not above the last from that box is ignored.
    // Preconditions: none.
    void put(const MemberId& box, uint64_t sequence, std::span<const EngineLoad> loads,
             MonoTime now);

    // Load over the engines in `own` and in fresh digests of others. An engine that two boxes
    // report for a moment counts once, with the higher load. Preconditions: none.
    ZoneTotal total(std::span<const EngineLoad> own, MonoTime now) const;

    // Whether the newest fresh digest about `engine` said that it was full. Preconditions: none.
    bool saidFull(const EngineId& engine, MonoTime now) const;

private:
    struct Digest {
        uint64_t sequence = 0;
        MonoTime at;
        std::vector<EngineLoad> loads;
    };
    struct Seen {
        MemberId box;
        size_t index;
    };

    const EngineLoad* fresh(const EngineId& engine, MonoTime now) const;

    Millis m_maxAge;
    std::map<MemberId, Digest> m_boxes;
    std::unordered_map<EngineId, Seen> m_byEngine;  // Newest digest that speaks of the engine.
};

}  // namespace onyx
