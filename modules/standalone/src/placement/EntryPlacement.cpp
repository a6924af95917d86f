#include "modules/standalone/include/placement/EntryPlacement.h"

namespace onyx {

EntryPlacement::EntryPlacement(std::vector<EngineChoice> choices) : m_choices(std::move(choices)) {}

std::optional<PlacementAsk> EntryPlacement::ask(const EngineId& engine, bool followNote,
                                                bool mayQueue) {
    m_asked.insert(engine);
    ++m_asks;
    PlacementAsk ask{engine, followNote, mayQueue};
    if (mayQueue && m_fullEngines > 0) {
        ask.meanHint = static_cast<double>(m_fullLoad) / m_fullEngines;
    }
    return ask;
}

std::optional<PlacementAsk> EntryPlacement::nextIn(bool near) {
    for (const EngineChoice& choice : m_choices) {
        const bool skipped = choice.saidFull || m_asked.contains(choice.engine) ||
                             m_excluded.contains(choice.engine);
        if (choice.near == near && !skipped && m_asks < kMostAsks) {
            return ask(choice.engine, false, false);
        }
    }
    return std::nullopt;
}

std::optional<PlacementAsk> EntryPlacement::next() {
    if (m_noted) {
        const EngineId noted = *m_noted;
        m_noted.reset();
        return ask(noted, false, false);
    }
    if (m_phase == Phase::kFirst) {
        m_phase = Phase::kNear;
        if (!m_choices.empty() && !m_excluded.contains(m_choices.front().engine)) {
            return ask(m_choices.front().engine, true, false);
        }
    }
    if (m_phase == Phase::kNear) {
        if (auto next = nextIn(true)) {
            return next;
        }
        m_phase = Phase::kFar;
    }
    if (m_phase == Phase::kFar) {
        if (auto next = nextIn(false)) {
            return next;
        }
        m_phase = Phase::kQueue;
    }
    // Waiting in one queue only: one request must not hold places in several.
    while (m_phase == Phase::kQueue) {
        m_phase = Phase::kDone;
        for (const EngineChoice& choice : m_choices) {
            if (!m_excluded.contains(choice.engine)) {
                return ask(choice.engine, false, true);
            }
        }
    }
    return std::nullopt;
}

void EntryPlacement::goTo(const EngineId& engine) {
    m_pointedTo = engine;
    const bool listed = !m_asked.contains(engine) && !m_excluded.contains(engine);
    if (listed) {
        m_noted = engine;
    }
    // The note was of no use if its engine is full: the first choice gets its turn again.
    m_asked.erase(m_choices.front().engine);
}

void EntryPlacement::full(int load) {
    if (load > 0) {
        m_fullLoad += load;
        ++m_fullEngines;
    }
}

void EntryPlacement::exclude(const EngineId& engine) {
    m_excluded.insert(engine);
    if (m_phase == Phase::kDone) {
        m_phase = Phase::kQueue;
    }
}

}  // namespace onyx
