#include "include/relay/RequestState.h"

namespace onyx {

void RequestState::note(SendEnd end) {
    if (end == SendEnd::kNotSent || end == SendEnd::kMisdirected) {
        ++m_unsent;  // No upstream of the service has had it.
        return;
    }
    ++m_sends;
    m_mayHaveRun = m_mayHaveRun || end != SendEnd::kDeclined;
}

bool RequestState::maySendAgain(SendEnd end, const RequestFacts& facts) const {
    if (!facts.timeLeft) {
        return false;
    }
    if (m_unsent >= m_rules.mostUnsent || m_sends >= m_rules.maxAttempts) {
        return false;
    }
    if (end == SendEnd::kStreamBroken) {
        return m_rules.repeatable && m_rules.resumable;
    }
    return !m_mayHaveRun || m_rules.repeatable;
}

NextStep RequestState::giveUp(SendEnd end, const RequestFacts& facts) const {
    if (end == SendEnd::kFailed && !facts.callerHasHead) {
        return NextStep::kDeliver;
    }
    return giveUp(facts.callerHasHead);
}

}  // namespace onyx
