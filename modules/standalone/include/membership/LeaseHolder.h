// The holder's side of a box's lease in the platform: when to renew, what an answer means, and up
// to when the lease covers this member. A pure state machine; RosterKeeper carries its calls.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace onyx {

// How a call to the platform ended.
enum class CallStatus : uint8_t {
    kOk,
    kConflict,     // The object has another version: no effect.
    kMissing,      // Read only: there is no such object.
    kUnavailable,  // No effect.
    kUnknown,      // It may have taken effect.
};

// A box's lease as it stands in the platform.
struct LeaseRecord {
    MemberId holder;
    // Members of this box that may never hold it again; kept apart from the holder, since a member
    // can be removed before it ever took its lease.
    std::vector<MemberId> revoked;

    friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// An answer about a lease.
struct LeaseReply {
    uint64_t call = 0;
    CallStatus status = CallStatus::kOk;
    uint64_t version = 0;
    LeaseRecord record;  // For a read.
};

// Whether `record` says that `member` may not hold the lease. Thread safety: any thread.
bool IsRevoked(const LeaseRecord& record, const MemberId& member);

// Not thread safe: one task owns it. Copyable.
class LeaseHolder {
public:
    // What to send next: a read of the lease, or a renewal against a version.
    struct Read {};
    struct Renewal {
        uint64_t expect = 0;
        LeaseRecord record;
    };
    using Request = std::variant<Read, Renewal>;

    // `duration`: how long a renewal covers. `renew`: between renewals. Preconditions: renew <
    // duration.
    LeaseHolder(Millis duration, Millis renew) : m_duration(duration), m_renew(renew) {}

    // Whether a request is due. Preconditions: none.
    bool due(MonoTime now) const;

    // Makes the next request, which gets the number `call`. Preconditions: due(now).
    Request request(const MemberId& self, uint64_t call, MonoTime now);

    // What an answer brought.
    enum class Result : uint8_t {
        kDone,      // Nothing more to do now.
        kRenewNow,  // The version is known: renew at once.
        kRevoked,   // This member may not hold it: join again under another id.
    };

    // Takes the answer to the request that waits. Preconditions: isWaitingFor(reply.call).
    Result answer(const MemberId& self, const LeaseReply& reply, MonoTime now);

    // Whether `call` is the request that waits for its answer. Preconditions: none.
    bool isWaitingFor(uint64_t call) const { return m_call != 0 && m_call == call; }

    // Renew as soon as possible. Preconditions: none.
    void hurry(MonoTime now) { m_nextRenew = now; }

    // Starts over for a member with another id. Preconditions: none.
    void restart();

    // Whether the lease covers `now`. Preconditions: none.
    bool valid(MonoTime now) const { return now < m_until; }
    // Whether the last request failed to reach the platform, or its answer was lost.
    // Preconditions: none.
    bool failing() const { return m_failing; }

private:
    enum class State : uint8_t {
        kUnread,  // The version in the platform is not known.
        kKnown,
        kSuperseded,  // A newer life of the box has it.
    };

    Result answerToRenewal(const LeaseReply& reply, MonoTime now);

    Millis m_duration;
    Millis m_renew;
    State m_state = State::kUnread;
    uint64_t m_version = 0;
    std::vector<MemberId> m_revoked;  // As last read.
    MonoTime m_sentAt;
    MonoTime m_until;
    MonoTime m_nextRenew;
    uint64_t m_call = 0;
    bool m_everHeld = false;
    bool m_failing = false;
};

}  // namespace onyx
