#include "include/freshness/StoreCallPolicy.h"

#include <algorithm>

namespace onyx {

namespace {

// A report of stale state counts for this long: a few query periods.
constexpr Millis kStaleReportLifetimeMs = 1500;
// Length of a turn: time to request both lists and to retransmit a lost packet.
constexpr Millis kTurnMs = 300;

}  // namespace

std::string_view StoreCallReasonName(StoreCallReason reason) {
    switch (reason) {
        case StoreCallReason::kWatcher:
            return "watcher";
        case StoreCallReason::kSmallZone:
            return "small-zone";
        case StoreCallReason::kYoung:
            return "young";
        case StoreCallReason::kStarting:
            return "starting";
        case StoreCallReason::kFirst:
            return "first";
        case StoreCallReason::kAlone:
            return "alone";
        case StoreCallReason::kDeputy:
            return "deputy";
        case StoreCallReason::kAwaitsTurn:
            return "awaits-turn";
        case StoreCallReason::kTurn:
            return "turn";
    }
    return "invalid";
}

StoreCallPolicy::StoreCallPolicy(const StoreCallSettings& settings, MonoTime started, uint64_t seed)
    : m_settings(settings),
      m_started(started),
      m_random(static_cast<std::minstd_rand::result_type>(seed)),
      m_startWait(randomBetween(settings.minStartWait, settings.maxStartWait)) {}

Millis StoreCallPolicy::randomBetween(Millis least, Millis most) {
    return std::uniform_int_distribution<Millis>(least, std::max(least, most))(m_random);
}

void StoreCallPolicy::noteReply(const std::string& from, std::optional<Millis> age, MonoTime now) {
    if (age && *age <= m_settings.peerQueryAge) {
        m_staleReports.erase(from);
    } else {
        m_staleReports[from] = now;
    }
}

bool StoreCallPolicy::hasStaleReports(const StoreCallInputs& inputs, MonoTime now) {
    std::erase_if(m_staleReports, [&](const auto& witness) {
        return now - witness.second > kStaleReportLifetimeMs;
    });
    const size_t needed = std::min(m_settings.minStaleReports, std::max<size_t>(1, inputs.links));
    return m_staleReports.size() >= needed;
}

StoreCallDecision StoreCallPolicy::decide(const StoreCallInputs& inputs, MonoTime now) {
    if (inputs.isWatcher) {
        return {true, StoreCallReason::kWatcher};
    }
    if (inputs.inSmallZone) {
        return {true, StoreCallReason::kSmallZone};
    }
    // Until the boxes have discovered the watchers, all boxes that started together would otherwise
    // wait for each other until their state is old.
    if (inputs.isSeed && !inputs.discovered) {
        return {true, StoreCallReason::kFirst};
    }
    if (inputs.links == 0 && inputs.age) {
        return {true, StoreCallReason::kAlone};
    }
    if (inputs.age && *inputs.age <= m_settings.maxAge) {
        m_nextTurn.reset();
        return {false, StoreCallReason::kYoung};
    }
    const Millis startWait = inputs.idle ? m_startWait * m_settings.idleFactor : m_startWait;
    if (!inputs.age && now - m_started < startWait + m_settings.freeCallPeriod) {
        const bool waits = now - m_started < startWait;
        return {!waits, waits ? StoreCallReason::kStarting : StoreCallReason::kFirst};
    }
    if (!hasStaleReports(inputs, now)) {
        return {true, StoreCallReason::kAlone};
    }
    if (inputs.rank < m_settings.deputies) {
        return {true, StoreCallReason::kDeputy};
    }
    return decideByTurn(inputs, now);
}

// The first turn is at a random time within a whole round, so that boxes that lost the store at the
// same time do not try at the same time. Each later turn follows after half a round to one round.
StoreCallDecision StoreCallPolicy::decideByTurn(const StoreCallInputs& inputs, MonoTime now) {
    const Millis round = m_settings.turnIntervalPerBox * static_cast<Millis>(inputs.boxes);
    if (!m_nextTurn) {
        m_nextTurn = now + randomBetween(0, round);
    }
    if (now - *m_nextTurn >= kTurnMs) {
        m_nextTurn = now + randomBetween(round / 2, round);
    }
    if (now < *m_nextTurn) {
        return {false, StoreCallReason::kAwaitsTurn};
    }
    return {true, StoreCallReason::kTurn};
}

}  // namespace onyx
