#include "modules/standalone/include/membership/MemberView.h"

#include <algorithm>

namespace onyx {

void MemberView::hear(const std::vector<MemberSeen>& members, const Roster& roster, MonoTime now) {
    m_live.clear();
    for (const MemberSeen& seen : members) {
        m_live[seen.member] = seen.draining;
        m_lastHeard[seen.member] = now;
    }
    std::erase_if(m_lastHeard, [&](const auto& heard) {
        return !m_live.contains(heard.first) && !roster.has(heard.first);
    });
}

void MemberView::noteDeparted(const Roster& before, const Roster& next) {
    for (const MemberId& member : before.members) {
        if (!next.has(member)) {
            m_departed.insert(member);
        }
    }
    while (m_departed.size() > kMostDeparted) {
        m_departed.erase(m_departed.begin());
    }
}

void MemberView::takeRoster(const Roster& roster, MonoTime now) {
    for (const MemberId& member : roster.members) {
        m_lastHeard.try_emplace(member, now);
    }
    std::erase_if(m_condemned, [&](const MemberId& member) { return !roster.has(member); });
}

bool MemberView::isDead(const MemberId& member, const MemberId& self, MonoTime now) const {
    if (member == self || m_live.contains(member)) {
        return false;
    }
    const bool newerLife = std::any_of(m_live.begin(), m_live.end(), [&](const auto& other) {
        return BoxOf(other.first) == BoxOf(member);
    });
    if (newerLife || BoxOf(member) == BoxOf(self)) {
        return true;
    }
    const auto heard = m_lastHeard.find(member);
    const MonoTime last = heard == m_lastHeard.end() ? MonoTime{} : heard->second;
    return now - last >= m_takeoverAfter;
}

std::vector<MemberId> MemberView::wantedMembers(const Roster& roster, const Self& self,
                                                MonoTime now) const {
    std::set<MemberId> wanted;
    for (const MemberId& member : roster.members) {
        const bool gone = isDead(member, self.member, now) || m_condemned.contains(member);
        if (!gone && !(member == self.member && self.leaving)) {
            wanted.insert(member);
        }
    }
    const auto admit = [&](const MemberId& member) {
        const bool gone = m_condemned.contains(member) || m_departed.contains(member);
        if (wanted.size() < m_mostMembers && !gone) {
            wanted.insert(member);
        }
    };
    if (!self.leaving) {
        admit(self.member);
    }
    for (const auto& [member, draining] : m_live) {
        if (!draining) {
            admit(member);
        }
    }
    return {wanted.begin(), wanted.end()};
}

bool MemberView::isProposer(const Roster& roster, const Self& self, MonoTime now) const {
    if (roster.members.empty()) {
        return true;
    }
    if (!roster.has(self.member)) {
        return mayReplaceAll(roster, self.member);
    }
    if (self.leaving) {
        return true;
    }
    // One proposer at a time by custom; races are settled by the conditional update.
    for (const MemberId& member : roster.members) {
        if (member == self.member) {
            return true;
        }
        const auto live = m_live.find(member);
        if (live != m_live.end() && !live->second && !isDead(member, self.member, now)) {
            return false;
        }
    }
    return false;
}

bool MemberView::mayReplaceAll(const Roster& roster, const MemberId& self) const {
    return std::all_of(roster.members.begin(), roster.members.end(), [&](const MemberId& member) {
        const std::string box = BoxOf(member);
        const bool newerLife =
            box == BoxOf(self) || std::any_of(m_live.begin(), m_live.end(), [&](const auto& o) {
                return BoxOf(o.first) == box && o.first != member;
            });
        return newerLife || (!m_listed.empty() && !m_listed.contains(box));
    });
}

}  // namespace onyx
