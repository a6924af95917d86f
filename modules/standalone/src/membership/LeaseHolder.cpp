#include "modules/standalone/include/membership/LeaseHolder.h"

#include "modules/standalone/include/membership/Roster.h"

#include <algorithm>

namespace onyx {

bool IsRevoked(const LeaseRecord& record, const MemberId& member) {
    return std::find(record.revoked.begin(), record.revoked.end(), member) != record.revoked.end();
}

bool LeaseHolder::due(MonoTime now) const {
    return m_call == 0 && m_state != State::kSuperseded && now >= m_nextRenew;
}

LeaseHolder::Request LeaseHolder::request(const MemberId& self, uint64_t call, MonoTime now) {
    m_call = call;
    m_sentAt = now;
    m_nextRenew = now + m_renew;
    if (m_state == State::kUnread) {
        return Read{};
    }
    return Renewal{m_version, {self, m_revoked}};
}

LeaseHolder::Result LeaseHolder::answer(const MemberId& self, const LeaseReply& reply,
                                        MonoTime now) {
    m_call = 0;
    m_failing = reply.status == CallStatus::kUnavailable || reply.status == CallStatus::kUnknown;
    if (m_state == State::kKnown) {
        return answerToRenewal(reply, now);
    }
    if (m_failing) {
        return Result::kDone;
    }
    const bool missing = reply.status == CallStatus::kMissing;
    const bool otherLife = !missing && ProcessOf(reply.record.holder) != ProcessOf(self);
    if (otherLife && m_everHeld) {
        m_state = State::kSuperseded;
        m_until = {};
        return Result::kDone;
    }
    const bool revoked = IsRevoked(reply.record, self);
    if (revoked) {
        restart();
    }
    m_state = State::kKnown;
    m_version = missing ? 0 : reply.version;
    m_revoked = reply.record.revoked;
    m_nextRenew = now;
    return revoked ? Result::kRevoked : Result::kRenewNow;
}

LeaseHolder::Result LeaseHolder::answerToRenewal(const LeaseReply& reply, MonoTime now) {
    if (reply.status == CallStatus::kOk) {
        m_version = reply.version;
        m_everHeld = true;
        // Counted from when the renewal was sent: the platform may have answered late.
        m_until = m_sentAt + m_duration;
    } else if (reply.status != CallStatus::kUnavailable) {
        m_state = State::kUnread;
        m_nextRenew = reply.status == CallStatus::kConflict ? now : m_nextRenew;
    }
    return Result::kDone;
}

void LeaseHolder::restart() {
    m_state = State::kUnread;
    m_until = {};
    m_nextRenew = {};
}

}  // namespace onyx
