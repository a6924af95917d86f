#include "include/freshness/StoreDuty.h"

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds. What a box said counts for this long: some periods of asking.
constexpr Millis kWitnessTime = 1500;
// In milliseconds. A turn is this long: both lists can be asked for, a lost packet may be sent
// again.
constexpr Millis kTurnLength = 300;

}  // namespace

std::string_view StoreDutyReasonName(StoreDutyReason reason) {
    switch (reason) {
        case StoreDutyReason::kWatcher:
            return "watcher";
        case StoreDutyReason::kSmallZone:
            return "small-zone";
        case StoreDutyReason::kYoung:
            return "young";
        case StoreDutyReason::kStarting:
            return "starting";
        case StoreDutyReason::kFirst:
            return "first";
        case StoreDutyReason::kAlone:
            return "alone";
        case StoreDutyReason::kDeputy:
            return "deputy";
        case StoreDutyReason::kAwaitsTurn:
            return "awaits-turn";
        case StoreDutyReason::kTurn:
            return "turn";
    }
    return "invalid";
}

StoreDuty::StoreDuty(const StoreDutySettings& settings, MonoTime started, uint64_t seed)
    : m_settings(settings),
      m_started(started),
      m_random(static_cast<std::minstd_rand::result_type>(seed)),
      m_startWait(draw(settings.minStartWait, settings.maxStartWait)) {}

Millis StoreDuty::draw(Millis least, Millis most) {
    return std::uniform_int_distribution<Millis>(least, std::max(least, most))(m_random);
}

void StoreDuty::noteAnswer(const std::string& from, std::optional<Millis> age, MonoTime now) {
    if (age && *age <= m_settings.askAge) {
        m_witnesses.erase(from);
    } else {
        m_witnesses[from] = now;
    }
}

bool StoreDuty::hasWitnesses(const StoreDutyFacts& facts, MonoTime now) {
    std::erase_if(m_witnesses,
                  [&](const auto& witness) { return now - witness.second > kWitnessTime; });
    const size_t needed = std::min(m_settings.minWitnesses, std::max<size_t>(1, facts.links));
    return m_witnesses.size() >= needed;
}

StoreDutyDecision StoreDuty::decide(const StoreDutyFacts& facts, MonoTime now) {
    if (facts.isWatcher) {
        return {true, StoreDutyReason::kWatcher};
    }
    if (facts.inSmallZone) {
        return {true, StoreDutyReason::kSmallZone};
    }
    // Until boxes know who watches, all that started together would wait for each other's knowledge
    // to get old.
    if (facts.isSeed && !facts.discovered) {
        return {true, StoreDutyReason::kFirst};
    }
    if (facts.links == 0 && facts.age) {
        return {true, StoreDutyReason::kAlone};
    }
    if (facts.age && *facts.age <= m_settings.maxAge) {
        m_turn.reset();
        return {false, StoreDutyReason::kYoung};
    }
    const Millis startWait = facts.idle ? m_startWait * m_settings.idleFactor : m_startWait;
    if (!facts.age && now - m_started < startWait + m_settings.firstCalls) {
        const bool waits = now - m_started < startWait;
        return {!waits, waits ? StoreDutyReason::kStarting : StoreDutyReason::kFirst};
    }
    if (!hasWitnesses(facts, now)) {
        return {true, StoreDutyReason::kAlone};
    }
    if (facts.rank < m_settings.deputies) {
        return {true, StoreDutyReason::kDeputy};
    }
    return byTurn(facts, now);
}

// The first turn comes at a random time of the whole round, so that boxes that lost the store
// together do not try together; later ones a round apart, more or less.
StoreDutyDecision StoreDuty::byTurn(const StoreDutyFacts& facts, MonoTime now) {
    const Millis round = m_settings.turnPerBox * static_cast<Millis>(facts.boxes);
    if (!m_turn) {
        m_turn = now + draw(0, round);
    }
    if (now - *m_turn >= kTurnLength) {
        m_turn = now + draw(round / 2, round);
    }
    if (now < *m_turn) {
        return {false, StoreDutyReason::kAwaitsTurn};
    }
    return {true, StoreDutyReason::kTurn};
}

}  // namespace onyx
