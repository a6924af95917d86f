// Compares placement policies on one trace, through the real decision classes: each router alone
// with a local bound, a bound on lagged reports, two choices on lagged reports, and homes with an
// exact count. `PolicyBench --help` lists the knobs; docs/design/placement.md has the figures.
#include "bench/PolicyBench/PolicySite.h"
#include "bench/PolicyBench/PolicyTrace.h"

#include "include/base/Hash.h"
#include "include/membership/DigestTargets.h"
#include "include/placement/EntryPlacement.h"
#include "include/placement/HomeAdmission.h"
#include "include/placement/RendezvousOrder.h"
#include "include/router/PeerController.h"
#include "include/wire/FrameCodec.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <queue>
#include <random>

using namespace onyx;
using namespace onyx::bench;

namespace {

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

constexpr Millis kReportEvery = 500;
constexpr size_t kMostChoices = 16;
constexpr double kReportBytes = 120;  // A report over HTTP, head included.
const ServiceId kModel("m");

std::string EngineName(int engine) {
    return "engine" + std::to_string(engine);
}

struct Ended {
    Millis at;
    uint16_t engine;
    Ticket ticket;
    bool operator>(const Ended& other) const { return at > other.at; }
};
using Endings = std::priority_queue<Ended, std::vector<Ended>, std::greater<>>;

// ---- The baselines: every router decides alone ----

enum class Alone { kLocalBound, kLaggedBound, kTwoChoices };

class AlonePolicy {
public:
    AlonePolicy(Alone kind, const PolicyTrace& trace, const PolicySettings& settings)
        : m_kind(kind), m_trace(trace), m_settings(settings), m_site(trace.settings) {
        for (int i = 0; i < trace.settings.engines; ++i) {
            m_names.emplace_back(EngineName(i));
        }
        const auto engines = static_cast<size_t>(trace.settings.engines);
        m_own.assign(static_cast<size_t>(trace.settings.routers), std::vector<int>(engines, 0));
    }

    PolicyFigures run(const char* name) {
        size_t next = 0;
        size_t flap = 0;
        for (Millis now = 0; now < m_trace.settings.length; ++now) {
            while (flap < m_trace.flaps.size() && m_trace.flaps[flap].at <= now) {
                m_site.setLeaving(m_trace.flaps[flap].engine, m_trace.flaps[flap].leaves);
                ++flap;
            }
            while (!m_endings.empty() && m_endings.top().at <= now) {
                const Ended ended = m_endings.top();
                m_endings.pop();
                m_site.end(ended.engine);
                --m_own[ended.ticket][ended.engine];
            }
            while (next < m_trace.arrivals.size() && m_trace.arrivals[next].at <= now) {
                place(m_trace.arrivals[next++], now);
            }
            if (now % PolicySite::kSampleEvery == 0) {
                m_site.sample(m_settings.multiple, m_settings.floor);
            }
        }
        PolicyFigures figures = m_site.figures();
        figures.policy = name;
        figures.asks = 1;
        const bool reads = m_kind != Alone::kLocalBound;
        figures.controlBytes = reads ? kReportBytes * m_trace.settings.engines * 1000.0 /
                                           static_cast<double>(kReportEvery)
                                     : 0;
        return figures;
    }

private:
    int load(const Arrival& arrival, uint16_t engine) const {
        return m_kind == Alone::kLocalBound ? m_own[arrival.router][engine]
                                            : m_site.reported(engine, m_settings.reportLag);
    }

    void place(const Arrival& arrival, Millis now) {
        const ChatId chat("chat" + std::to_string(arrival.chat));
        const auto order = RendezvousOrder(chat, m_names, m_names.size());
        std::vector<uint16_t> usable;
        double total = 0;
        for (const uint32_t i : order) {
            if (!m_site.leaving(static_cast<uint16_t>(i))) {
                usable.push_back(static_cast<uint16_t>(i));
                total += load(arrival, static_cast<uint16_t>(i));
            }
        }
        uint16_t chosen = usable.front();
        if (m_kind == Alone::kTwoChoices) {
            const uint16_t other = usable[std::min<size_t>(1, usable.size() - 1)];
            chosen = load(arrival, other) < load(arrival, chosen) ? other : chosen;
        } else {
            const int floor = m_kind == Alone::kLocalBound ? 1 : m_settings.floor;
            const double mean = (total + 1) / static_cast<double>(usable.size());
            const BoundSettings bound{m_settings.multiple, 1.0, floor, 1 << 20};
            for (const uint16_t engine : usable) {
                if (load(arrival, engine) < AllowedInFlight(bound, mean)) {
                    chosen = engine;
                    break;
                }
            }
        }
        m_site.start(chosen, arrival);
        ++m_own[arrival.router][chosen];
        m_endings.push({now + arrival.service, chosen, arrival.router});
    }

    Alone m_kind;
    const PolicyTrace& m_trace;
    PolicySettings m_settings;
    PolicySite m_site;
    std::vector<EngineId> m_names;
    std::vector<std::vector<int>> m_own;
    Endings m_endings;
};

// ---- Homes with an exact count: the product's own classes ----

class HomesPolicy {
public:
    HomesPolicy(const PolicyTrace& trace, const PolicySettings& settings)
        : m_trace(trace), m_settings(settings), m_site(trace.settings) {
        const int zones = trace.settings.zones;
        for (int i = 0; i < trace.settings.engines; ++i) {
            m_names.emplace_back(EngineName(i));
            m_index[m_names.back()] = static_cast<uint16_t>(i);
        }
        HomeSettings home;
        home.digestAge = 20 * settings.digestPeriod;
        home.gainSettle = 0;
        for (int i = 0; i < trace.settings.routers; ++i) {
            m_homes.push_back(std::make_unique<HomeAdmission>(home));
            m_members.emplace_back("box" + std::to_string(i));
        }
        // Engine to home: rendezvous over the zone's boxes, as PeerTable does it.
        std::vector<std::vector<HomedEngine>> homed(m_homes.size());
        for (int engine = 0; engine < trace.settings.engines; ++engine) {
            std::vector<MemberId> boxes;
            std::vector<uint16_t> numbers;
            for (int box = engine % zones; box < trace.settings.routers; box += zones) {
                boxes.push_back(m_members[static_cast<size_t>(box)]);
                numbers.push_back(static_cast<uint16_t>(box));
            }
            const int winner =
                RendezvousWinner<MemberId>(m_names[static_cast<size_t>(engine)].value, boxes);
            const uint16_t box = numbers[static_cast<size_t>(winner)];
            m_homeOf.push_back(box);
            const BoundSettings bound{settings.multiple, settings.headroom, settings.floor,
                                      1 << 20};
            homed[box].push_back({m_names[static_cast<size_t>(engine)], kModel, bound});
        }
        for (size_t i = 0; i < m_homes.size(); ++i) {
            m_homes[i]->setEngines(homed[i], {0});
        }
        for (size_t i = 0; i < m_homes.size(); ++i) {
            m_targets.push_back(peersOf(i));
        }
    }

    PolicyFigures run(const char* name) {
        size_t next = 0;
        size_t flap = 0;
        const size_t peers = m_targets[0].size();
        const Millis period =
            DigestPeriod(m_settings.digestPeriod, peers, digestBytes(0), m_settings.digestBudget);
        for (Millis now = 0; now < m_trace.settings.length; ++now) {
            while (flap < m_trace.flaps.size() && m_trace.flaps[flap].at <= now) {
                applyFlap(m_trace.flaps[flap++]);
            }
            while (!m_endings.empty() && m_endings.top().at <= now) {
                endOne(now);
            }
            while (next < m_trace.arrivals.size() && m_trace.arrivals[next].at <= now) {
                place(next++, now);
            }
            // Boxes do not send in step.
            for (size_t box = 0; box < m_homes.size(); ++box) {
                if ((now + static_cast<Millis>(box) * 37) % period == 0) {
                    sendDigest(box, now);
                }
            }
            if (now % kReportEvery == 0 && m_settings.reportLag > 0) {
                report(now);
            }
            if (now % PolicySite::kSampleEvery == 0) {
                m_site.sample(m_settings.multiple, m_settings.floor);
            }
        }
        PolicyFigures figures = m_site.figures();
        figures.policy = name;
        const auto requests = static_cast<double>(std::max<uint64_t>(1, m_requests));
        figures.asks = static_cast<double>(m_asks) / requests;
        const double seconds = static_cast<double>(m_trace.settings.length) / 1000.0;
        figures.controlBytes =
            m_controlBytes / seconds / static_cast<double>(m_trace.settings.routers);
        figures.refused = m_refused;
        figures.queued = m_queuedCount;
        std::sort(m_quietWaits.begin(), m_quietWaits.end());
        figures.quietWait99 =
            m_quietWaits.empty()
                ? 0
                : static_cast<double>(m_quietWaits[m_quietWaits.size() * 99 / 100]);
        return figures;
    }

private:
    bool sharesDigests(size_t a, size_t b) const {
        const auto zones = static_cast<size_t>(m_trace.settings.zones);
        return a != b && (m_settings.siteOrder || a % zones == b % zones);
    }

    std::vector<size_t> peersOf(size_t box) const {
        std::vector<size_t> peers;
        std::vector<MemberId> members;
        for (size_t other = 0; other < m_homes.size(); ++other) {
            if (sharesDigests(box, other)) {
                peers.push_back(other);
                members.push_back(m_members[other]);
            }
        }
        std::vector<size_t> chosen;
        for (const size_t i : DigestTargets(m_members[box], members, m_settings.digestPeers)) {
            chosen.push_back(peers[i]);
        }
        return chosen;
    }

    size_t digestBytes(size_t box) const {
        wire::DigestT digest;
        for (const EngineLoad& load : m_homes[box]->loads({0})) {
            digest.loads.emplace_back(static_cast<uint32_t>(HashText(load.engine.value)),
                                      static_cast<uint16_t>(load.load), load.full);
        }
        return EncodeMessage(std::move(digest)).size();
    }

    void sendDigest(size_t box, Millis now) {
        const auto loads = m_homes[box]->loads({now});
        const auto bytes = static_cast<double>(digestBytes(box));
        ++m_sequence;
        for (const size_t peer : m_targets[box]) {
            m_controlBytes += bytes;
            perform(m_homes[peer]->digest(m_members[box], m_sequence, loads, {now}), now);
        }
    }

    void report(Millis now) {
        for (size_t engine = 0; engine < m_names.size(); ++engine) {
            const auto number = static_cast<uint16_t>(engine);
            const EngineReport report{m_names[engine],
                                      m_site.reported(number, m_settings.reportLag),
                                      m_settings.reportLag};
            perform(m_homes[m_homeOf[engine]]->report(report, {now}), now);
        }
    }

    void applyFlap(const Flap& flap) {
        m_site.setLeaving(flap.engine, flap.leaves);
        m_homes[m_homeOf[flap.engine]]->setLeaving(m_names[flap.engine], flap.leaves);
    }

    void endOne(Millis now) {
        const Ended ended = m_endings.top();
        m_endings.pop();
        m_site.end(ended.engine);
        perform(m_homes[m_homeOf[ended.engine]]->done(ended.ticket, {now}), now);
    }

    std::vector<EngineChoice> choicesFor(const Arrival& arrival, const ChatId& chat) const {
        std::vector<EngineId> own;
        std::vector<EngineId> other;
        const int zone = arrival.router % m_trace.settings.zones;
        for (size_t i = 0; i < m_names.size(); ++i) {
            const bool ownZone =
                m_settings.siteOrder || m_site.zoneOf(static_cast<uint16_t>(i)) == zone;
            (ownZone ? own : other).push_back(m_names[i]);
        }
        const ZoneLoads& loads = m_homes[arrival.router]->zone();
        std::vector<EngineChoice> choices;
        for (const auto* list : {&own, &other}) {
            for (const uint32_t i : RendezvousOrder(chat, *list, kMostChoices)) {
                const bool full = m_settings.skipFull && loads.saidFull((*list)[i], {arrival.at});
                choices.push_back({(*list)[i], list == &own, full});
            }
        }
        return choices;
    }

    void place(size_t number, Millis now) {
        const Arrival& arrival = m_trace.arrivals[number];
        const ChatId chat("chat" + std::to_string(arrival.chat));
        EntryPlacement placement(choicesFor(arrival, chat));
        ++m_requests;
        const Ticket ticket = number + 1;
        while (const auto ask = placement.next()) {
            ++m_asks;
            AdmitAsk admit;
            admit.ticket = ticket;
            admit.engine = ask->engine;
            admit.service = kModel;
            admit.chat = chat;
            admit.team = TeamId("team" + std::to_string(arrival.team));
            admit.priority = arrival.urgent ? Priority::kUrgent : Priority::kNormal;
            admit.deadline = {now + 30000};
            admit.followNote = ask->followNote && m_settings.notes;
            admit.mayQueue = ask->mayQueue;
            admit.meanHint = ask->meanHint;
            const uint16_t home = m_homeOf[m_index.at(ask->engine)];
            const auto actions = m_homes[home]->ask(admit, {now});
            const HomeAction& verdict = actions.front();
            if (std::holds_alternative<Full>(verdict) || std::holds_alternative<GoTo>(verdict)) {
                m_controlBytes += verdictBytes();
            }
            if (const auto* goTo = std::get_if<GoTo>(&verdict)) {
                placement.goTo(goTo->engine);
                continue;
            }
            if (const auto* full = std::get_if<Full>(&verdict)) {
                placement.full(m_settings.meanHint ? full->load : 0);
                if (ask->mayQueue) {
                    placement.exclude(ask->engine);
                }
                continue;
            }
            perform(actions, now);
            if (const auto* admitted = std::get_if<Admitted>(&verdict)) {
                if (placement.needsNote(admitted->engine) && m_settings.notes) {
                    const uint16_t first = m_homeOf[m_index.at(placement.firstChoice())];
                    m_homes[first]->note(chat, admitted->engine, {now});
                    m_controlBytes += noteBytes();
                }
            }
            return;
        }
        ++m_refused;
    }

    void perform(const std::vector<HomeAction>& actions, Millis now) {
        for (const HomeAction& action : actions) {
            if (const auto* admitted = std::get_if<Admitted>(&action)) {
                const Arrival& arrival = m_trace.arrivals[admitted->ticket - 1];
                const uint16_t engine = m_index.at(admitted->engine);
                m_site.start(engine, arrival);
                m_endings.push({now + arrival.service, engine, admitted->ticket});
                if (arrival.urgent && arrival.team != 0) {
                    m_quietWaits.push_back(now - arrival.at);
                }
            } else if (std::holds_alternative<Queued>(action)) {
                ++m_queuedCount;
            } else if (std::holds_alternative<Refused>(action)) {
                ++m_refused;
            }
        }
    }

    // Sizes of the real frames.
    static double verdictBytes() {
        static const auto kBytes = static_cast<double>(EncodeMessage(wire::RunVerdictT()).size());
        return kBytes;
    }
    static double noteBytes() {
        wire::ChatNoteT note;
        note.chat = "chat-00000000";
        note.engine = "engine000";
        static const auto kBytes = static_cast<double>(EncodeMessage(note).size());
        return kBytes;
    }

    const PolicyTrace& m_trace;
    PolicySettings m_settings;
    PolicySite m_site;
    std::vector<EngineId> m_names;
    std::map<EngineId, uint16_t> m_index;
    std::vector<std::unique_ptr<HomeAdmission>> m_homes;
    std::vector<MemberId> m_members;
    std::vector<uint16_t> m_homeOf;
    std::vector<std::vector<size_t>> m_targets;  // Of each box's digests.
    Endings m_endings;
    std::vector<Millis> m_quietWaits;
    uint64_t m_sequence = 0;
    uint64_t m_requests = 0;
    uint64_t m_asks = 0;
    uint64_t m_refused = 0;
    uint64_t m_queuedCount = 0;
    double m_controlBytes = 0;
};

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
