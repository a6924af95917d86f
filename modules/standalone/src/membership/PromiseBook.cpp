#include "modules/standalone/include/membership/PromiseBook.h"

#include <algorithm>

namespace onyx {

namespace {

bool Covers(const std::map<MemberId, MonoTime>& times, const MemberId& member, MonoTime now) {
    const auto it = times.find(member);
    return it != times.end() && now < it->second;
}

}  // namespace

uint64_t PromiseBook::startRound(MonoTime now) {
    m_rounds[++m_lastRound] = now;
    if (m_rounds.size() > kMaxRounds) {
        m_rounds.erase(m_rounds.begin());
    }
    return m_lastRound;
}

void PromiseBook::granted(const MemberId& from, uint64_t round) {
    const auto asked = m_rounds.find(round);
    if (asked == m_rounds.end()) {
        return;
    }
    MonoTime& until = m_held[from];
    until = std::max(until, asked->second + m_length);
}

bool PromiseBook::heldFromAll(const std::vector<MemberId>& members, const MemberId& self,
                              MonoTime now) const {
    return std::all_of(members.begin(), members.end(), [&](const MemberId& other) {
        return other == self || Covers(m_held, other, now);
    });
}

void PromiseBook::dropHeld() {
    m_held.clear();
    m_rounds.clear();
}

void PromiseBook::give(const MemberId& to, MonoTime now) {
    MonoTime& until = m_given[to];
    until = std::max(until, now + m_length + m_drift);
}

bool PromiseBook::mayGive(const MemberId& to, MonoTime now) const {
    return !Covers(m_withheld, to, now);
}

bool PromiseBook::bound(const MemberId& to, MonoTime now) const {
    return Covers(m_given, to, now);
}

}  // namespace onyx
