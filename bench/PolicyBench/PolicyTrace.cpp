#include "bench/PolicyBench/PolicyTrace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace onyx::bench {

namespace {

constexpr uint32_t kTokensPerTurn = 400;
constexpr int kMostTurns = 20;
constexpr double kServiceSpread = 0.6;  // Sigma of the log-normal.
constexpr double kHotShare = 0.7;       // Of the requests come from recently active chats.
constexpr int kMostPicks = 50;
constexpr Millis kLeastPause = 500;
constexpr Millis kFlapLength = 5000;

}  // namespace

PolicyTrace MakeTrace(const TraceSettings& settings) {
    PolicyTrace trace;
    trace.settings = settings;
    std::mt19937_64 random(settings.seed);
    std::uniform_real_distribution<double> share(0, 1);
    std::lognormal_distribution<double> service(
        std::log(settings.meanServiceMs) - kServiceSpread * kServiceSpread / 2, kServiceSpread);
    std::vector<int> turns(static_cast<size_t>(settings.chats), 0);
    std::vector<Millis> busyUntil(static_cast<size_t>(settings.chats), 0);
    std::vector<uint32_t> recent;
    const Millis surgeFrom = settings.length * 2 / 5;
    const Millis surgeTo = settings.length * 3 / 5;
    double at = 0;
    while (true) {
        const bool surging =
            at >= static_cast<double>(surgeFrom) && at < static_cast<double>(surgeTo);
        // One team of ten sends a tenth; surging, its share of the arrivals grows.
        const double base = 1.0 / settings.teams;
        const double surgeRate = surging ? base * settings.surge : base;
        const double total = (1 - base) + surgeRate;
        // The site's capacity is fixed: the surge displaces, it does not add up to 10 x the load.
        const double rate = settings.requestsPerSecond * std::min(total, 1.3);
        at += -std::log(1 - share(random)) * 1000.0 / rate;
        if (at >= static_cast<double>(settings.length)) {
            break;
        }
        Arrival arrival;
        arrival.at = static_cast<Millis>(at);
        const bool surger = share(random) < surgeRate / total;
        // A chat sends its next turn only after the answer to the last and a pause.
        for (int tries = 0; tries < kMostPicks; ++tries) {
            const bool hot = !recent.empty() && share(random) < kHotShare;
            arrival.chat =
                hot ? recent[random() % recent.size()]
                    : static_cast<uint32_t>(random() % static_cast<uint64_t>(settings.chats));
            // Chats belong to teams by number; a surging request takes one of team 0's chats.
            if (surger) {
                arrival.chat -= arrival.chat % static_cast<uint32_t>(settings.teams);
            }
            if (busyUntil[arrival.chat] <= arrival.at) {
                break;
            }
        }
        if (busyUntil[arrival.chat] > arrival.at) {
            continue;
        }
        arrival.team = static_cast<uint16_t>(arrival.chat % static_cast<uint32_t>(settings.teams));
        if (turns[arrival.chat] == 0) {
            if (recent.size() < static_cast<size_t>(settings.chats) / 5) {
                recent.push_back(arrival.chat);
            } else {
                recent[random() % recent.size()] = arrival.chat;
            }
        }
        int& turn = turns[arrival.chat];
        arrival.priorTokens = static_cast<uint32_t>(turn) * kTokensPerTurn;
        arrival.promptTokens = arrival.priorTokens + kTokensPerTurn;
        turn = (turn + 1) % kMostTurns;
        arrival.router = static_cast<uint16_t>(random() % static_cast<uint64_t>(settings.routers));
        arrival.service = std::max<Millis>(20, static_cast<Millis>(service(random)));
        arrival.urgent = share(random) < 0.2;
        busyUntil[arrival.chat] = arrival.at + arrival.service + kLeastPause;
        trace.arrivals.push_back(arrival);
    }
    const auto flaps =
        static_cast<int>(settings.flapsPerSecond * static_cast<double>(settings.length) / 1000);
    for (int i = 0; i < flaps; ++i) {
        const auto start =
            static_cast<Millis>(share(random) * static_cast<double>(settings.length));
        const auto engine =
            static_cast<uint16_t>(random() % static_cast<uint64_t>(settings.engines));
        trace.flaps.push_back({start, engine, true});
        trace.flaps.push_back({start + kFlapLength, engine, false});
    }
    std::sort(trace.flaps.begin(), trace.flaps.end(),
              [](const Flap& a, const Flap& b) { return a.at < b.at; });
    return trace;
}

}  // namespace onyx::bench
