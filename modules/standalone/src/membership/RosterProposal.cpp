#include "modules/standalone/include/membership/RosterProposal.h"

#include <algorithm>

namespace onyx {

bool HasMember(const std::vector<MemberId>& sorted, const MemberId& member) {
    return std::binary_search(sorted.begin(), sorted.end(), member);
}

RosterProposal::RosterProposal(const Roster& current, const MemberId& self,
                               std::vector<MemberId> members, bool ending, MonoTime now)
    : m_epoch(current.epoch + 1),
      m_members(std::move(members)),
      m_startedAt(now),
      m_ending(ending) {
    for (const MemberId& member : current.members) {
        if (member != self && !HasMember(m_members, member)) {
            m_removals[member];
        }
    }
}

bool RosterProposal::removalsOver(Millis whole, MonoTime now) const {
    return std::all_of(m_removals.begin(), m_removals.end(), [&](const auto& entry) {
        return entry.second.revoked && now >= entry.second.seenAt + whole;
    });
}

std::vector<RemovalStep> RosterProposal::nextRemovalSteps() const {
    std::vector<RemovalStep> steps;
    for (const auto& [member, removal] : m_removals) {
        if (removal.revoked || removal.call != 0) {
            continue;
        }
        if (!removal.read) {
            steps.emplace_back(LeaseRead{member});
            continue;
        }
        LeaseRecord record = removal.record;
        record.revoked.push_back(member);
        if (record.revoked.size() > kMostRevoked) {
            record.revoked.erase(record.revoked.begin());
        }
        steps.emplace_back(LeaseRevocation{member, removal.version, std::move(record)});
    }
    return steps;
}

std::optional<MemberId> RosterProposal::removalReply(const LeaseReply& reply, MonoTime now) {
    const auto it = std::find_if(m_removals.begin(), m_removals.end(), [&](const auto& entry) {
        return entry.second.call == reply.call;
    });
    if (it == m_removals.end()) {
        return std::nullopt;
    }
    auto& [member, removal] = *it;
    removal.call = 0;
    if (reply.status == CallStatus::kUnavailable) {
        return std::nullopt;
    }
    if (removal.read) {
        // A revocation's answer. If it is lost or lost out, the lease is read again.
        removal.revoked = reply.status == CallStatus::kOk;
        removal.read = removal.revoked;
        return removal.revoked ? std::optional(member) : std::nullopt;
    }
    if (reply.status != CallStatus::kOk && reply.status != CallStatus::kMissing) {
        return std::nullopt;
    }
    const bool missing = reply.status == CallStatus::kMissing;
    removal.read = true;
    removal.version = missing ? 0 : reply.version;
    removal.record = reply.record;
    // The holder's last renewal was sent before this moment.
    removal.seenAt = now;
    removal.revoked = IsRevoked(reply.record, member);  // By an earlier proposal.
    return removal.revoked ? std::optional(member) : std::nullopt;
}

std::vector<MemberId> RosterProposal::consentsMissing(const Roster& current,
                                                      const MemberId& self) const {
    std::vector<MemberId> missing;
    for (const MemberId& member : current.members) {
        const bool stays = member != self && HasMember(m_members, member);
        if (stays && !m_consents.contains(member)) {
            missing.push_back(member);
        }
    }
    return missing;
}

bool RosterProposal::askNow(Millis retry, MonoTime now) {
    if (m_askedAt != MonoTime{} && now - m_askedAt < retry) {
        return false;
    }
    m_askedAt = now;
    return true;
}

Roster RosterProposal::write(uint64_t call, WallTime now) {
    m_writeCall = call;
    m_written = {m_epoch, m_members, now};
    return m_written;
}

}  // namespace onyx
