// One proposed change of a zone's roster, by the member that proposes it: the leases of those to be
// removed are revoked and waited out, all that stay are asked for consent. A pure state machine;
// RosterKeeper decides when it begins, writes the roster and ends it.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"
#include "modules/standalone/include/membership/LeaseHolder.h"
#include "modules/standalone/include/membership/Roster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace onyx {

// Whether `sorted` has `member`. Preconditions: it is sorted. Thread safety: any thread.
bool HasMember(const std::vector<MemberId>& sorted, const MemberId& member);

// What the removal of a member needs next from the platform.
struct LeaseRead {
    MemberId member;
};
struct LeaseRevocation {
    MemberId member;
    uint64_t expect = 0;  // The lease's version.
    LeaseRecord record;
};
using RemovalStep = std::variant<LeaseRead, LeaseRevocation>;

// Not thread safe: one task owns it. Copyable: tests explore from copies.
class RosterProposal {
public:
    // Proposes that `members` (sorted) follow `current`. `ending`: they are the same members, to
    // end a change that got stuck; that needs no consent. Preconditions: none.
    RosterProposal(const Roster& current, const MemberId& self, std::vector<MemberId> members,
                   bool ending, MonoTime now);

    uint64_t epoch() const { return m_epoch; }
    const std::vector<MemberId>& members() const { return m_members; }
    bool ending() const { return m_ending; }
    MonoTime startedAt() const { return m_startedAt; }
    // Whether `member` is to be removed. Preconditions: none.
    bool removes(const MemberId& member) const { return m_removals.contains(member); }

    // ---- Removals

    // Whether all removed members' leases are revoked and over. `whole`: a lease with its margin.
    // Preconditions: none.
    bool removalsOver(Millis whole, MonoTime now) const;

    // Next calls to the platform: one for each removal that has none under way. Each is to be told
    // to callSent(). Preconditions: none.
    std::vector<RemovalStep> nextRemovalSteps() const;

    // Notes the number of the call that carries a step out. Preconditions: the step came from
    // nextRemovalSteps().
    void callSent(const MemberId& member, uint64_t call) { m_removals[member].call = call; }

    // Takes in a call's answer; returns the member whose lease is found revoked by it, if any.
    // Preconditions: none; answers to other calls are passed over.
    std::optional<MemberId> removalReply(const LeaseReply& reply, MonoTime now);

    // ---- Consents

    // Notes that `member` consented. Preconditions: none.
    void consented(const MemberId& member) { m_consents.insert(member); }

    // Those of `current` that stay and did not consent yet, this member left out.
    // Preconditions: none.
    std::vector<MemberId> consentsMissing(const Roster& current, const MemberId& self) const;

    // Whether it is time to ask, again, after `retry`; notes that they are asked if so.
    // Preconditions: times do not fall.
    bool askNow(Millis retry, MonoTime now);

    // ---- The write

    // The roster as it is written by `call`. Preconditions: none.
    Roster write(uint64_t call, WallTime now);
    // Number of the write that is under way, 0 if there is none. Preconditions: none.
    uint64_t writeCall() const { return m_writeCall; }
    // Notes that the write was answered. Preconditions: none.
    void writeAnswered() { m_writeCall = 0; }
    // What write() returned last. Preconditions: it was called.
    const Roster& written() const { return m_written; }

private:
    static constexpr size_t kMostRevoked = 16;  // Joins of one box; older ones are long gone.

    // How far the removal of one member has come.
    struct Removal {
        bool read = false;
        bool revoked = false;
        uint64_t version = 0;
        LeaseRecord record;
        MonoTime seenAt;
        uint64_t call = 0;
    };

    uint64_t m_epoch = 0;
    std::vector<MemberId> m_members;
    std::map<MemberId, Removal> m_removals;
    std::set<MemberId> m_consents;
    MonoTime m_startedAt;
    MonoTime m_askedAt;
    bool m_ending = false;
    uint64_t m_writeCall = 0;
    Roster m_written;
};

}  // namespace onyx
