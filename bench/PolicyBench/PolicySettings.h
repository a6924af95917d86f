// What the policies share: their knobs, and the requests that end.
#pragma once

#include "bench/PolicyBench/PolicyTrace.h"

#include "include/admission/FairQueue.h"
#include "include/base/Ids.h"

#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace onyx::bench {

struct PolicySettings {
    double multiple = 1.25;
    double headroom = 0.6;
    int floor = 2;
    Millis digestPeriod = 250;
    int64_t digestBudget = 800;
    size_t digestPeers = 16;  // Boxes that get this box's digest.
    Millis reportLag = 1000;
    bool notes = true;
    bool siteOrder = true;  // Order over the site's engines, or the entry's zone first.
    bool skipFull = true;
    bool meanHint = true;  // The last ask carries the mean load that the others showed.
};

inline constexpr Millis kReportEvery = 500;
inline constexpr size_t kMostChoices = 16;
inline constexpr double kReportBytes = 120;  // A report over HTTP, head included.

inline std::string EngineName(int engine) {
    return "engine" + std::to_string(engine);
}

struct Ended {
    Millis at;
    uint16_t engine;
    Ticket ticket;
    bool operator>(const Ended& other) const { return at > other.at; }
};
using Endings = std::priority_queue<Ended, std::vector<Ended>, std::greater<>>;

}  // namespace onyx::bench
