#include "modules/standalone/include/membership/RosterKeeper.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr size_t kMostHandovers = 64;

}  // namespace

RosterKeeper::RosterKeeper(MemberId member, const KeeperSettings& settings)
    : m_base(std::move(member)),
      m_self(MemberOf(m_base, 0)),
      m_settings(settings),
      m_lease(settings.lease, settings.renew),
      m_promises(settings.promise, settings.drift),
      m_view(settings.takeoverAfter, settings.mostMembers) {}

std::vector<KeeperAction> RosterKeeper::step(const KeeperEvent& event, const Now& now) {
    Actions out;
    std::visit([&](const auto& e) { onEvent(e, now, out); }, event);
    return out;
}

// ---- Rights ----

KeyRight RosterKeeper::right(std::string_view key, WallTime mintedAt, const Now& now) const {
    if (mintedAt > now.wall + m_settings.skew) {
        return KeyRight::kInFuture;
    }
    if (m_history.current().ownerOf(key) != m_self) {
        return KeyRight::kNotOwner;
    }
    if (m_joint && OwnerAmong(key, *m_joint) != m_self) {
        return KeyRight::kMoving;
    }
    if (m_settings.rules.lease && !leaseValid(now) && !promised(now)) {
        return KeyRight::kNoLease;
    }
    // Twice the skew: once for the clock of the box that wrote the epoch's start, once for the
    // clock of the earlier owner, which took keys up to one skew ahead of it.
    const auto gained = m_history.gainedAt(key, m_self, m_handovers);
    const bool tooOld = !gained || mintedAt <= *gained + 2 * m_settings.skew;
    if (!m_settings.rules.mint || !tooOld) {
        return KeyRight::kMayRun;
    }
    return handoverMayCome(key, now) ? KeyRight::kMoving : KeyRight::kTooOld;
}

bool RosterKeeper::handoverMayCome(std::string_view key, const Now& now) const {
    if (now.mono - m_epochTakenAt >= m_settings.handoverWait) {
        return false;
    }
    const auto owner = m_history.ownerBefore(key);
    if (!owner) {
        // A newcomer does not know whose the key was; whoever it was may still hand over.
        const MemberId* other = m_view.anyHeard();
        return m_history.size() == 1 && other != nullptr &&
               !m_handovers.contains({roster().epoch, *other});
    }
    const bool given = m_handovers.contains({roster().epoch, *owner});
    return *owner != m_self && !given && m_view.hears(*owner);
}

bool RosterKeeper::promised(const Now& now) const {
    return !m_joint && roster().has(m_self) &&
           m_promises.heldFromAll(roster().members, m_self, now.mono);
}

// ---- The clock ----

void RosterKeeper::onEvent(const KeeperTick&, const Now& now, Actions& out) {
    renewLease(now, out);
    if (now.mono >= m_nextRosterRead) {
        readRoster(now, out);
    }
    if (m_lease.failing() && now.mono >= m_nextPromiseAsk) {
        askPromises(now, out);
    }
    considerProposal(now, out);
}

// ---- The own lease ----

void RosterKeeper::renewLease(const Now& now, Actions& out) {
    if (!m_lease.due(now.mono) || !needsLease()) {
        return;
    }
    const uint64_t call = nextCall();
    const std::string box = BoxOf(m_self);
    const LeaseHolder::Request request = m_lease.request(m_self, call, now.mono);
    if (const auto* renewal = std::get_if<LeaseHolder::Renewal>(&request)) {
        out.emplace_back(WriteLease{call, box, renewal->expect, renewal->record});
    } else {
        out.emplace_back(ReadLease{call, box});
    }
}

// Only a member runs keys, and only who may write a roster proposes one: the platform's writes grow
// with the rosters, not with the fleet.
bool RosterKeeper::needsLease() const {
    const Roster& current = roster();
    return m_rosterRead && (current.has(m_self) || current.members.empty() ||
                            m_view.mayReplaceAll(current, m_self));
}

void RosterKeeper::rejoin(Actions& out) {
    ++m_generation;
    m_self = MemberOf(m_base, m_generation);
    m_history.clear();
    m_handovers.clear();
    m_joint.reset();
    m_proposal.reset();
    m_promises.dropHeld();
    m_rosterRead = false;
    m_nextRosterRead = {};
    out.emplace_back(Rejoined{m_self});
}

void RosterKeeper::onEvent(const LeaseReply& event, const Now& now, Actions& out) {
    if (m_lease.isWaitingFor(event.call)) {
        const auto result = m_lease.answer(m_self, event, now.mono);
        if (result == LeaseHolder::Result::kRevoked) {
            rejoin(out);
        } else if (result == LeaseHolder::Result::kRenewNow) {
            renewLease(now, out);
        }
        return;
    }
    if (!m_proposal) {
        return;
    }
    if (const auto revoked = m_proposal->removalReply(event, now.mono)) {
        m_view.condemn(*revoked);
    }
    considerProposal(now, out);
}

// ---- The roster ----

void RosterKeeper::readRoster(const Now& now, Actions& out) {
    if (m_rosterCall != 0) {
        return;
    }
    m_rosterCall = nextCall();
    m_nextRosterRead = now.mono + m_settings.renew;
    out.emplace_back(ReadRoster{m_rosterCall});
}

void RosterKeeper::onEvent(const EpochSeen& event, const Now& now, Actions& out) {
    if (event.epoch > roster().epoch) {
        readRoster(now, out);
    }
}

void RosterKeeper::onEvent(const RosterReply& event, const Now& now, Actions& out) {
    const bool written = m_proposal && event.call == m_proposal->writeCall();
    if (written) {
        m_proposal->writeAnswered();
        if (event.status == CallStatus::kOk) {
            const Roster next = m_proposal->written();
            m_rosterVersion = event.version;
            takeRoster(next, now, out);
        } else if (event.status != CallStatus::kUnavailable) {
            readRoster(now, out);  // Somebody else was first, or the answer was lost.
        }
        return;
    }
    if (event.call != m_rosterCall) {
        return;
    }
    m_rosterCall = 0;
    if (event.status != CallStatus::kOk && event.status != CallStatus::kMissing) {
        return;
    }
    const Roster read = event.status == CallStatus::kOk ? event.roster : Roster{};
    m_rosterRead = true;
    m_rosterVersion = event.status == CallStatus::kOk ? event.version : 0;
    m_storeWentBack = read.epoch < roster().epoch;
    if (read.epoch > roster().epoch) {
        takeRoster(read, now, out);
    }
    considerProposal(now, out);
}

void RosterKeeper::takeRoster(const Roster& next, const Now& now, Actions& out) {
    const bool wasMember = roster().has(m_self);
    m_view.noteDeparted(roster(), next);
    if (!m_history.add(next)) {
        return;
    }
    m_joint.reset();
    m_promises.dropHeld();
    m_promises.endWithholding();
    m_proposal.reset();
    m_storeWentBack = false;
    m_epochTakenAt = now.mono;
    m_view.takeRoster(next, now.mono);
    out.emplace_back(EpochTaken{next.epoch});
    if (!wasMember && next.has(m_self)) {
        m_lease.hurry(now.mono);
        renewLease(now, out);
    }
    if (wasMember && !next.has(m_self)) {
        if (m_leaving) {
            out.emplace_back(LeftRoster{});
        } else {
            m_lease.restart();
            rejoin(out);
        }
    }
}

// ---- Promises ----

void RosterKeeper::askPromises(const Now& now, Actions& out) {
    const Roster& current = roster();
    if (m_joint || !current.has(m_self)) {
        return;
    }
    m_nextPromiseAsk = now.mono + std::min(m_settings.renew, m_settings.promise / 3);
    const uint64_t round = m_promises.startRound(now.mono);
    for (const MemberId& other : current.members) {
        if (other != m_self) {
            out.emplace_back(AskPromise{other, round, current.epoch});
        }
    }
}

void RosterKeeper::onEvent(const PromiseAsked& event, const Now& now, Actions& out) {
    const Roster& current = roster();
    const bool removing = m_view.condemned(event.from) ||
                          !m_promises.mayGive(event.from, now.mono) ||
                          (m_proposal && m_proposal->removes(event.from));
    const bool granted = event.epoch == current.epoch && current.has(m_self) &&
                         current.has(event.from) && !m_joint && !removing;
    if (granted) {
        m_promises.give(event.from, now.mono);
    }
    out.emplace_back(AnswerPromise{event.from, event.round, event.epoch, granted});
}

void RosterKeeper::onEvent(const PromiseAnswered& event, const Now&, Actions&) {
    if (event.granted && event.epoch == roster().epoch && !m_joint) {
        m_promises.granted(event.from, event.round);
    }
}

// ---- Consent ----

bool RosterKeeper::grantConsent(uint64_t epoch, const std::vector<MemberId>& members,
                                const Now& now, Actions& out) {
    const Roster& current = roster();
    if (epoch != current.epoch + 1 || !current.has(m_self)) {
        return false;
    }
    if (m_joint) {
        return *m_joint == members;
    }
    for (const MemberId& other : current.members) {
        if (!HasMember(members, other) && m_promises.bound(other, now.mono)) {
            m_promises.withhold(other, now.mono + m_settings.stuck);
            return false;
        }
    }
    m_joint = members;
    m_jointSince = now.mono;
    m_promises.dropHeld();
    out.emplace_back(Consented{epoch, members});
    return true;
}

void RosterKeeper::onEvent(const ConsentAsked& event, const Now& now, Actions& out) {
    const bool granted = roster().has(event.from) &&
                         std::is_sorted(event.members.begin(), event.members.end()) &&
                         grantConsent(event.epoch, event.members, now, out);
    if (granted && m_proposal && m_proposal->members() != event.members) {
        m_proposal.reset();
    }
    out.emplace_back(AnswerConsent{event.from, event.epoch, granted});
    if (event.epoch > roster().epoch + 1) {
        readRoster(now, out);
    }
}

void RosterKeeper::onEvent(const ConsentAnswered& event, const Now& now, Actions& out) {
    if (!m_proposal || event.epoch != m_proposal->epoch() || !event.granted) {
        return;
    }
    m_proposal->consented(event.from);
    advanceProposal(now, out);
}

// ---- Changes of the roster ----

void RosterKeeper::onEvent(const MembersLive& event, const Now& now, Actions&) {
    m_view.hear(event.members, roster(), now.mono);
}

void RosterKeeper::onEvent(const BoxesListed& event, const Now&, Actions&) {
    m_view.list(event.names);
}

void RosterKeeper::onEvent(const HandoverTaken& event, const Now&, Actions&) {
    m_handovers[{event.epoch, event.from}] = event.handover;
    if (m_handovers.size() > kMostHandovers) {
        m_handovers.erase(m_handovers.begin());
    }
}

void RosterKeeper::onEvent(const LeaveRoster&, const Now& now, Actions& out) {
    m_leaving = true;
    if (!roster().has(m_self)) {
        out.emplace_back(LeftRoster{});
        return;
    }
    considerProposal(now, out);
}

bool RosterKeeper::mustEndChange(const Now& now) const {
    const bool stuck = m_joint && !m_leaving && now.mono - m_jointSince >= m_settings.stuck;
    return roster().has(m_self) && (stuck || m_storeWentBack);
}

void RosterKeeper::considerProposal(const Now& now, Actions& out) {
    if (m_proposal && now.mono - m_proposal->startedAt() >= m_settings.stuck) {
        m_proposal.reset();
    }
    if (m_proposal) {
        advanceProposal(now, out);
        return;
    }
    if (!m_rosterRead || !leaseValid(now)) {
        return;
    }
    if (mustEndChange(now)) {
        m_proposal.emplace(roster(), m_self, roster().members, true, now.mono);
        advanceProposal(now, out);
        return;
    }
    const MemberView::Self view{m_self, m_leaving};
    const bool othersChange = m_joint && !(m_leaving && !HasMember(*m_joint, m_self));
    if (othersChange || m_storeWentBack || !m_view.isProposer(roster(), view, now.mono)) {
        return;
    }
    std::vector<MemberId> wanted = m_view.wantedMembers(roster(), view, now.mono);
    if (wanted != roster().members) {
        m_proposal.emplace(roster(), m_self, std::move(wanted), false, now.mono);
        advanceProposal(now, out);
    }
}

void RosterKeeper::advanceProposal(const Now& now, Actions& out) {
    if (m_proposal->writeCall() != 0 || !leaseValid(now)) {
        return;
    }
    if (m_settings.rules.revoke && !advanceRemovals(now, out)) {
        return;
    }
    const bool needsConsent = m_settings.rules.consent && !m_proposal->ending();
    if (needsConsent && !collectConsents(now, out)) {
        return;
    }
    writeRoster(now, out);
}

// Reads and revokes the leases of those to be removed; true once all are over.
bool RosterKeeper::advanceRemovals(const Now& now, Actions& out) {
    if (m_proposal->removalsOver(m_settings.lease + m_settings.drift, now.mono)) {
        return true;
    }
    for (RemovalStep& step : m_proposal->nextRemovalSteps()) {
        const uint64_t call = nextCall();
        if (auto* revocation = std::get_if<LeaseRevocation>(&step)) {
            m_proposal->callSent(revocation->member, call);
            out.emplace_back(WriteLease{call, BoxOf(revocation->member), revocation->expect,
                                        std::move(revocation->record)});
        } else {
            const MemberId& member = std::get<LeaseRead>(step).member;
            m_proposal->callSent(member, call);
            out.emplace_back(ReadLease{call, BoxOf(member)});
        }
    }
    return false;
}

// Asks all that stay; true once all consented, this member too.
bool RosterKeeper::collectConsents(const Now& now, Actions& out) {
    RosterProposal& proposal = *m_proposal;
    const Roster& current = roster();
    if (current.has(m_self) && !grantConsent(proposal.epoch(), proposal.members(), now, out)) {
        return false;
    }
    const std::vector<MemberId> missing = proposal.consentsMissing(current, m_self);
    if (proposal.askNow(m_settings.retry, now.mono)) {
        for (const MemberId& member : missing) {
            out.emplace_back(AskConsent{member, proposal.epoch(), proposal.members()});
        }
    }
    return missing.empty();
}

void RosterKeeper::writeRoster(const Now& now, Actions& out) {
    const uint64_t call = nextCall();
    out.emplace_back(WriteRoster{call, m_rosterVersion, m_proposal->write(call, now.wall)});
}

std::string RosterKeeper::describe(const Now& now) const {
    std::string text = m_self.value + " epoch " + std::to_string(roster().epoch) + " members";
    for (const MemberId& member : roster().members) {
        text += " " + member.value;
    }
    text += leaseValid(now) ? " lease" : " no-lease";
    text += promised(now) ? " promised" : "";
    text += m_joint ? " joint" : "";
    text += m_proposal ? " proposing" : "";
    return text;
}

}  // namespace onyx
