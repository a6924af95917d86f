// The workload that the policies are compared on: returning chats with pauses, log-normal service
// times, a surge of one team, engines that leave and return. The same seed makes the same trace.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <vector>

namespace onyx::bench {

// Sizes of a site and its load.
struct TraceSettings {
    int routers = 7;
    int engines = 50;
    int zones = 3;
    double requestsPerSecond = 100;
    double meanServiceMs = 4000;
    Millis length = 120000;
    int chats = 6000;
    int teams = 10;
    double surge = 10;  // The surging team's rate is multiplied by this in the middle fifth.
    double flapsPerSecond = 0.2;
    uint64_t seed = 1;
};

// A request arrives at a router.
struct Arrival {
    Millis at = 0;
    uint32_t chat = 0;
    uint16_t team = 0;
    uint16_t router = 0;
    uint32_t promptTokens = 0;
    uint32_t priorTokens = 0;  // Of the prompt, those that the chat's earlier turns had.
    Millis service = 0;
    bool urgent = false;
};

// An engine leaves or returns.
struct Flap {
    Millis at = 0;
    uint16_t engine = 0;
    bool leaves = false;
};

struct PolicyTrace {
    TraceSettings settings;
    std::vector<Arrival> arrivals;
    std::vector<Flap> flaps;
};

// Makes the trace. Preconditions: all sizes > 0. Thread safety: any thread.
PolicyTrace MakeTrace(const TraceSettings& settings);

}  // namespace onyx::bench
