// Homes with an exact count: the product's own classes, fed with the trace.
#pragma once

#include "bench/PolicyBench/PolicySettings.h"
#include "bench/PolicyBench/PolicySite.h"

#include "include/base/Hash.h"
#include "include/membership/DigestTargets.h"
#include "include/placement/EntryPlacement.h"
#include "include/placement/HomeAdmission.h"
#include "include/placement/RendezvousOrder.h"
#include "include/router/PeerController.h"
#include "include/wire/FrameCodec.h"

#include <algorithm>
#include <map>
#include <memory>

namespace onyx::bench {

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
            homed[box].push_back({m_names[static_cast<size_t>(engine)], model(), bound});
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
    static const ServiceId& model() {
        static const ServiceId kModel("m");
        return kModel;
    }

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
            admit.service = model();
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

}  // namespace onyx::bench
