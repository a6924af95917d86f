// What one member knows of the others: who is heard, whom the platform lists, and who may not be
// in the zone's roster any more. Decides whom the next roster should have and who proposes it.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"
#include "modules/standalone/include/membership/Roster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace onyx {

struct MemberSeen {
    MemberId member;
    bool draining = false;  // It lives, but must not be taken into the roster.

    friend bool operator==(const MemberSeen&, const MemberSeen&) = default;
};

// Not thread safe: one task owns it. Copyable: tests explore from copies.
class MemberView {
public:
    // This member, which changes when its box joins again, and whether it is on its way out.
    struct Self {
        MemberId member;
        bool leaving = false;
    };

    // `takeoverAfter`: a member that is not heard for so long counts as dead, in milliseconds.
    // `mostMembers`: of a roster. Preconditions: both > 0.
    MemberView(Millis takeoverAfter, size_t mostMembers)
        : m_takeoverAfter(takeoverAfter), m_mostMembers(mostMembers) {}

    // Takes in the members that are heard now, this one left out. Preconditions: times do not fall.
    void hear(const std::vector<MemberSeen>& members, const Roster& roster, MonoTime now);

    // Takes in the names of all boxes that the platform lists. Preconditions: none.
    void list(std::set<std::string> names) { m_listed = std::move(names); }

    // Notes who is in `before` and not in `next`: they are never admitted again.
    // Preconditions: none.
    void noteDeparted(const Roster& before, const Roster& next);

    // Takes in the roster that is in force: newcomers count as heard now, and removals that it
    // ended are forgotten. Preconditions: times do not fall.
    void takeRoster(const Roster& roster, MonoTime now);

    // Notes that a member's lease is revoked: it must go. Preconditions: none.
    void condemn(const MemberId& member) { m_condemned.insert(member); }
    // Whether it must go. Preconditions: none.
    bool condemned(const MemberId& member) const { return m_condemned.contains(member); }

    // Whether `member` is heard now. Preconditions: none.
    bool hears(const MemberId& member) const { return m_live.contains(member); }
    // One of the members that are heard now, or nullptr. Preconditions: none.
    const MemberId* anyHeard() const { return m_live.empty() ? nullptr : &m_live.begin()->first; }

    // Members that the next roster should have, sorted. Preconditions: none.
    std::vector<MemberId> wantedMembers(const Roster& roster, const Self& self, MonoTime now) const;

    // Whether this member is the one to propose a change. Preconditions: none.
    bool isProposer(const Roster& roster, const Self& self, MonoTime now) const;

    // Whether nobody of the roster can be running on promises any more: each member's box has a
    // newer life here, or is gone from the platform's list. Preconditions: none.
    bool mayReplaceAll(const Roster& roster, const MemberId& self) const;

private:
    static constexpr size_t kMostDeparted = 1000;

    bool isDead(const MemberId& member, const MemberId& self, MonoTime now) const;

    Millis m_takeoverAfter;
    size_t m_mostMembers;
    std::map<MemberId, bool> m_live;  // Whether it drains.
    std::map<MemberId, MonoTime> m_lastHeard;
    std::set<std::string> m_listed;
    std::set<MemberId> m_condemned;
    std::set<MemberId> m_departed;
};

}  // namespace onyx
