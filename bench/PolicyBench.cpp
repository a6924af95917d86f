// Compares placement policies on one trace, through the real decision classes: each router alone
// with a local bound, a bound on lagged reports, two choices on lagged reports, and homes with an
// exact count. `PolicyBench --help` lists the knobs; docs/design/placement.md has the figures.
#include "bench/PolicyBench/AlonePolicy.h"
#include "bench/PolicyBench/HomesPolicy.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace onyx;
using namespace onyx::bench;

namespace {

void Print(const PolicyFigures& figures) {
    std::printf("%-34s %6.2f %6.2f %6.2f  %5.3f  %5.2f %8.0f  %6.4f %7llu %7llu %7.0f\n",
                figures.policy.c_str(), figures.skewMedian, figures.skew99, figures.skewWorst,
                figures.reuse, figures.asks, figures.controlBytes, figures.overBound,
                static_cast<unsigned long long>(figures.queued),
                static_cast<unsigned long long>(figures.refused), figures.quietWait99);
    std::fflush(stdout);
}

void PrintHead(const TraceSettings& settings, size_t arrivals) {
    std::printf("\n%d routers, %d engines, %d zones, %.0f requests/s, %zu requests\n",
                settings.routers, settings.engines, settings.zones, settings.requestsPerSecond,
                arrivals);
    std::printf("%-34s %6s %6s %6s  %5s  %5s %8s  %6s %7s %7s %7s\n", "policy", "skew50", "skew99",
                "worst", "reuse", "asks", "B/s/node", "over", "queued", "refused", "quiet99");
}

void Compare(const TraceSettings& settings, const PolicySettings& policy) {
    const PolicyTrace trace = MakeTrace(settings);
    PrintHead(settings, trace.arrivals.size());
    Print(AlonePolicy(Alone::kLocalBound, trace, policy).run("alone, local bound"));
    Print(AlonePolicy(Alone::kLaggedBound, trace, policy).run("alone, bound on lagged reports"));
    Print(AlonePolicy(Alone::kTwoChoices, trace, policy).run("alone, two choices on reports"));
    PolicySettings variant = policy;
    variant.siteOrder = false;
    variant.notes = false;
    Print(HomesPolicy(trace, variant).run("homes, own zone first, no notes"));
    variant.notes = true;
    Print(HomesPolicy(trace, variant).run("homes, own zone first, notes"));
    variant.siteOrder = true;
    variant.notes = false;
    Print(HomesPolicy(trace, variant).run("homes, site order, no notes"));
    variant.notes = true;
    Print(HomesPolicy(trace, variant).run("homes, site order, notes"));
    variant.skipFull = false;
    Print(HomesPolicy(trace, variant).run("the same, full engines asked"));
    variant.skipFull = true;
    variant.meanHint = false;
    Print(HomesPolicy(trace, variant).run("the same, no hint of the mean"));
}

void Vary(const TraceSettings& settings, const PolicySettings& policy) {
    const PolicyTrace trace = MakeTrace(settings);
    PrintHead(settings, trace.arrivals.size());
    for (const double headroom : {0.2, 0.4, 0.6, 0.8, 1.0}) {
        PolicySettings variant = policy;
        variant.headroom = headroom;
        const std::string name = "homes, headroom " + std::to_string(headroom).substr(0, 3);
        Print(HomesPolicy(trace, variant).run(name.c_str()));
    }
    for (const size_t peers : {4, 8, 16, 32, 64}) {
        PolicySettings variant = policy;
        variant.digestPeers = peers;
        const std::string name = "homes, digests to " + std::to_string(peers);
        Print(HomesPolicy(trace, variant).run(name.c_str()));
    }
    for (const double multiple : {1.1, 1.25, 1.5, 2.0}) {
        PolicySettings variant = policy;
        variant.multiple = multiple;
        const std::string name = "homes, c = " + std::to_string(multiple).substr(0, 4);
        Print(HomesPolicy(trace, variant).run(name.c_str()));
    }
    for (const Millis period : {250, 1000, 3000, 10000}) {
        PolicySettings variant = policy;
        variant.digestPeriod = period;
        variant.digestBudget = 1 << 30;
        const std::string name = "homes, digests every " + std::to_string(period) + " ms";
        Print(HomesPolicy(trace, variant).run(name.c_str()));
    }
    for (const Millis lag : {0, 1000, 2000, 4000}) {
        PolicySettings variant = policy;
        variant.reportLag = lag;
        const std::string name =
            lag == 0 ? "homes, no reports" : "homes, reports " + std::to_string(lag) + " ms late";
        Print(HomesPolicy(trace, variant).run(name.c_str()));
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Placement policies on one trace"};
    TraceSettings today;
    PolicySettings policy;
    bool vary = false;
    bool target = false;
    double seconds = 120;
    app.add_flag("--vary", vary, "Vary c, the digest period and the report lag instead");
    app.add_flag("--target", target, "The target's size: 340 routers, 600 engines, 5 zones");
    app.add_option("--rate", today.requestsPerSecond, "Requests a second");
    app.add_option("--seconds", seconds, "Length of the trace");
    app.add_option("--seed", today.seed, "Seed of the trace");
    app.add_option("--multiple", policy.multiple, "c of the load bound");
    app.add_option("--surge", today.surge, "Factor on one team's rate in the middle fifth");
    CLI11_PARSE(app, argc, argv);
    if (target) {
        today.routers = 340;
        today.engines = 600;
        today.zones = 5;
        today.requestsPerSecond = 1700;
        today.meanServiceMs = 8000;
        today.chats = 200000;
        today.teams = 100;
        today.flapsPerSecond = 1;
    }
    today.length = static_cast<Millis>(seconds * 1000);
    vary ? Vary(today, policy) : Compare(today, policy);
}
