// The baselines: every router decides alone, by its own counts or by the engines' late reports.
#pragma once

#include "bench/PolicyBench/PolicySettings.h"
#include "bench/PolicyBench/PolicySite.h"

#include "include/placement/LoadBound.h"
#include "include/placement/RendezvousOrder.h"

#include <algorithm>

namespace onyx::bench {

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

}  // namespace onyx::bench
