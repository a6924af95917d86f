// Agreement about who owns keys, without a consensus group: a lease for each box and one roster a
// zone in the platform, consent of all that stay to each change, and promises among the members
// to go on while the platform is out of reach. A pure state machine; the rules and why each is
// needed are in docs/design/at-most-once.md.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"
#include "modules/standalone/include/membership/LeaseHolder.h"
#include "modules/standalone/include/membership/MemberView.h"
#include "modules/standalone/include/membership/PromiseBook.h"
#include "modules/standalone/include/membership/Roster.h"
#include "modules/standalone/include/membership/RosterProposal.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace onyx {

// Events.
struct KeeperTick {};
struct RosterReply {
    uint64_t call = 0;
    CallStatus status = CallStatus::kOk;
    uint64_t version = 0;
    Roster roster;  // For a read.
};
struct ConsentAsked {  // `from` wants the next epoch to have `members`.
    MemberId from;
    uint64_t epoch = 0;
    std::vector<MemberId> members;
};
struct ConsentAnswered {
    MemberId from;
    uint64_t epoch = 0;
    bool granted = false;
};
struct PromiseAsked {  // `from` wants a promise that it is not removed from `epoch` for a while.
    MemberId from;
    uint64_t round = 0;
    uint64_t epoch = 0;
};
struct PromiseAnswered {
    MemberId from;
    uint64_t round = 0;
    uint64_t epoch = 0;
    bool granted = false;
};
struct MembersLive {  // The zone's members that are heard now, this one left out.
    std::vector<MemberSeen> members;
};
struct EpochSeen {  // Somebody has a roster of this epoch.
    uint64_t epoch = 0;
};
struct HandoverTaken {  // `from` handed over all that it knows of the keys that `epoch` moves here.
    MemberId from;
    uint64_t epoch = 0;
    Handover handover;
};
struct BoxesListed {  // Names of all boxes that the platform lists.
    std::set<std::string> names;
};
struct LeaveRoster {};  // A planned stop: leave the roster as soon as the others consent.

using KeeperEvent =
    std::variant<KeeperTick, RosterReply, LeaseReply, ConsentAsked, ConsentAnswered, PromiseAsked,
                 PromiseAnswered, MembersLive, EpochSeen, HandoverTaken, BoxesListed, LeaveRoster>;

// Actions. Each platform call gets exactly one reply event with its number.
struct ReadRoster {
    uint64_t call = 0;
};
struct WriteRoster {
    uint64_t call = 0;
    uint64_t expect = 0;
    Roster roster;
};
struct ReadLease {
    uint64_t call = 0;
    std::string box;
};
struct WriteLease {
    uint64_t call = 0;
    std::string box;
    uint64_t expect = 0;
    LeaseRecord record;
};
struct AskConsent {
    MemberId to;
    uint64_t epoch = 0;
    std::vector<MemberId> members;
};
struct AnswerConsent {
    MemberId to;
    uint64_t epoch = 0;
    bool granted = false;
};
struct AskPromise {
    MemberId to;
    uint64_t round = 0;
    uint64_t epoch = 0;
};
struct AnswerPromise {
    MemberId to;
    uint64_t round = 0;
    uint64_t epoch = 0;
    bool granted = false;
};
struct EpochTaken {  // A newer roster is in force here.
    uint64_t epoch = 0;
};
struct Rejoined {  // The old membership is over: what was kept for it must be dropped.
    MemberId member;
};
struct Consented {  // This member's keys that `members` own differently are at rest from now on.
    uint64_t epoch = 0;
    std::vector<MemberId> members;
};
struct LeftRoster {};  // The planned stop is through: this box owns no keys any more.

using KeeperAction =
    std::variant<ReadRoster, WriteRoster, ReadLease, WriteLease, AskConsent, AnswerConsent,
                 AskPromise, AnswerPromise, EpochTaken, Rejoined, Consented, LeftRoster>;

// The rules, each of which can be taken out: only tests do so, to show what breaks without it.
struct KeeperRules {
    bool lease = true;    // Run only under a lease or promises.
    bool consent = true;  // Change the roster only with the consent of all that stay.
    bool mint = true;     // Run only keys minted after they were gained.
    bool revoke = true;   // Remove a member only once its lease is revoked and over.
};

// All times in milliseconds.
struct KeeperSettings {
    Millis lease = 6000;
    Millis renew = 2000;
    Millis drift = 500;  // Margin for clocks that run at different rates.
    Millis skew = 500;   // Most that two boxes' wall clocks may differ.
    Millis promise = 4000;
    Millis takeoverAfter = 2000;  // A member that is not heard for so long is taken over.
    Millis retry = 200;           // Between asks for consent.
    Millis handoverWait = 3000;   // How long a new owner hopes for the old one's handover.
    Millis stuck = 20000;         // A proposal that is not through by then is ended.
    size_t mostMembers = 16;
    KeeperRules rules;
};

// Why a key may or may not be run here now.
enum class KeyRight : uint8_t {
    kMayRun,
    kNotOwner,  // Another member owns it, or this one is not in the roster.
    kMoving,    // It changes hands, or its earlier owner's handover may still come.
    kNoLease,   // Neither lease nor promises cover this moment.
    kTooOld,    // Minted before this member gained it: an earlier owner may have run it.
    kInFuture,  // Minted later than the clocks' skew allows.
};

// Not thread safe: one task owns it. Copyable: tests explore from copies.
class RosterKeeper {
public:
    // `member`: this process, "box#incarnation". Preconditions: renew < lease.
    RosterKeeper(MemberId member, const KeeperSettings& settings);

    // Takes an event and returns what to do. Preconditions: `now` never goes back on the
    // monotonic clock.
    std::vector<KeeperAction> step(const KeeperEvent& event, const Now& now);

    // Whether this member may run `key` at this moment. Ask again right before dispatch.
    // Preconditions: none.
    KeyRight right(std::string_view key, WallTime mintedAt, const Now& now) const;

    // The owner of `key` by the newest roster seen. Preconditions: none.
    std::optional<MemberId> ownerOf(std::string_view key) const {
        return m_history.current().ownerOf(key);
    }

    // Since when this member knows all about the keys that it owns. Preconditions: none.
    WallTime knownSince() const { return m_history.knownSince(m_self, m_handovers); }

    // This box as a member: it changes when the box joins again. Preconditions: none.
    const MemberId& self() const { return m_self; }
    // How often this process joined anew. Preconditions: none.
    uint64_t generation() const { return m_generation; }
    // The newest roster seen. Preconditions: none.
    const Roster& roster() const { return m_history.current(); }
    // Whether the lease covers `now`. Preconditions: none.
    bool leaseValid(const Now& now) const { return m_lease.valid(now.mono); }
    // Whether promises of all other members cover `now`. Preconditions: none.
    bool promised(const Now& now) const;
    // Whether this member consented to a change that is not through. Preconditions: none.
    bool joint() const { return m_joint.has_value(); }
    // The state in a line, for status pages and to tell states apart. Preconditions: none.
    std::string describe(const Now& now) const;

private:
    using Actions = std::vector<KeeperAction>;

    void onEvent(const KeeperTick&, const Now& now, Actions& out);
    void onEvent(const RosterReply& event, const Now& now, Actions& out);
    void onEvent(const LeaseReply& event, const Now& now, Actions& out);
    void onEvent(const ConsentAsked& event, const Now& now, Actions& out);
    void onEvent(const ConsentAnswered& event, const Now& now, Actions& out);
    void onEvent(const PromiseAsked& event, const Now& now, Actions& out);
    void onEvent(const PromiseAnswered& event, const Now& now, Actions& out);
    void onEvent(const MembersLive& event, const Now& now, Actions& out);
    void onEvent(const EpochSeen& event, const Now& now, Actions& out);
    void onEvent(const HandoverTaken& event, const Now& now, Actions& out);
    void onEvent(const BoxesListed& event, const Now& now, Actions& out);
    void onEvent(const LeaveRoster&, const Now& now, Actions& out);

    bool needsLease() const;
    void renewLease(const Now& now, Actions& out);
    void rejoin(Actions& out);
    void readRoster(const Now& now, Actions& out);
    bool handoverMayCome(std::string_view key, const Now& now) const;
    void takeRoster(const Roster& next, const Now& now, Actions& out);
    void askPromises(const Now& now, Actions& out);
    bool grantConsent(uint64_t epoch, const std::vector<MemberId>& members, const Now& now,
                      Actions& out);

    void considerProposal(const Now& now, Actions& out);
    bool mustEndChange(const Now& now) const;
    void advanceProposal(const Now& now, Actions& out);
    bool advanceRemovals(const Now& now, Actions& out);
    bool collectConsents(const Now& now, Actions& out);
    void writeRoster(const Now& now, Actions& out);
    uint64_t nextCall() { return ++m_lastCall; }

    MemberId m_base;  // The process.
    MemberId m_self;  // The process and how often it joined.
    uint64_t m_generation = 0;
    KeeperSettings m_settings;

    LeaseHolder m_lease;
    RosterHistory m_history;
    uint64_t m_rosterVersion = 0;  // Of the roster object; 0 stands for "none".
    bool m_rosterRead = false;
    uint64_t m_rosterCall = 0;
    MonoTime m_nextRosterRead;

    std::optional<RosterProposal> m_proposal;
    std::optional<std::vector<MemberId>> m_joint;  // Members of the change consented to.
    MonoTime m_jointSince;
    PromiseBook m_promises;
    MonoTime m_nextPromiseAsk;

    Handovers m_handovers;
    MonoTime m_epochTakenAt;
    bool m_storeWentBack = false;  // The platform shows an older epoch than was seen.

    MemberView m_view;
    bool m_leaving = false;
    uint64_t m_lastCall = 0;
};

}  // namespace onyx
