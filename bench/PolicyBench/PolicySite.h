// What all policies are measured against: engines with a prefix cache, counts in flight, and the
// figures that come out. The policies decide; this only carries out and counts.
#pragma once

#include "bench/PolicyBench/PolicyTrace.h"

#include "include/base/Ids.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace onyx::bench {

struct PolicyFigures {
    std::string policy;
    double skewMedian = 0;
    double skew99 = 0;
    double skewWorst = 0;
    double reuse = 0;         // Cached over possible prompt tokens.
    double asks = 0;          // Homes or engines asked for each request.
    double controlBytes = 0;  // Sent, for each router and second.
    uint64_t refused = 0;
    uint64_t queued = 0;
    double quietWait99 = 0;  // Milliseconds that quiet teams' urgent requests waited.
    double overBound = 0;    // Share of the samples with an engine above c x mean (and floor).
};

class PolicySite {
public:
    explicit PolicySite(const TraceSettings& settings);

    // Starts a request on an engine. Returns whether it could: a leaving engine takes none.
    void start(uint16_t engine, const Arrival& arrival);
    void end(uint16_t engine);
    void setLeaving(uint16_t engine, bool leaving) { m_leaving[engine] = leaving; }
    bool leaving(uint16_t engine) const { return m_leaving[engine]; }
    int inFlight(uint16_t engine) const { return m_inFlight[engine]; }
    int zoneOf(uint16_t engine) const { return engine % m_settings.zones; }

    // Takes a sample of the skew.
    void sample(double multiple, int floor);

    // What was in flight on the engine `lag` ago, by the samples.
    int reported(uint16_t engine, Millis lag) const;

    PolicyFigures figures() const;

    static constexpr Millis kSampleEvery = 100;

private:
    struct Cache {
        std::list<std::pair<uint32_t, uint32_t>> recent;
        std::unordered_map<uint32_t, std::list<std::pair<uint32_t, uint32_t>>::iterator> chats;
        uint64_t used = 0;
    };

    TraceSettings m_settings;
    std::vector<int> m_inFlight;
    std::vector<char> m_leaving;
    std::vector<Cache> m_caches;
    std::vector<std::vector<int>> m_samples;
    std::vector<double> m_skews;
    uint64_t m_possible = 0;
    uint64_t m_cached = 0;
    uint64_t m_over = 0;
};

}  // namespace onyx::bench
