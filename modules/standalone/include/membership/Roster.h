// The roster of a zone: which members own keys, in numbered epochs; and what a member may conclude
// from the epochs that it has seen.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// One epoch. In the platform it is one object a zone, changed by conditional update.
struct Roster {
    uint64_t epoch = 0;             // 0: there is none.
    std::vector<MemberId> members;  // Sorted, none twice.
    WallTime startedAt;             // By the clock of the box that wrote it, when it sent it.

    // Whether `member` is in it. Preconditions: none.
    bool has(const MemberId& member) const;
    // Who owns `key`: rendezvous over the members; nothing if there are none. Preconditions: none.
    std::optional<MemberId> ownerOf(std::string_view key) const;

    friend bool operator==(const Roster&, const Roster&) = default;
};

// Owner of `key` among `members`. Preconditions: none. Thread safety: any thread.
std::optional<MemberId> OwnerAmong(std::string_view key, const std::vector<MemberId>& members);

// Name of the box that `member` is a life of: the part before '#'. Thread safety: any thread.
std::string BoxOf(const MemberId& member);

// The process that `member` stands for: the part before the last '.', which counts how often the
// process joined. Thread safety: any thread.
MemberId ProcessOf(const MemberId& member);

// The member that `process` is after it joined `generation` times anew; ProcessOf leads back.
// Thread safety: any thread.
MemberId MemberOf(const MemberId& process, uint64_t generation);

// What an earlier owner handed over with a change of the roster from `before` to `members`: the
// whole history since `since` of the keys that this very change moves. It says nothing of another
// change.
struct Handover {
    WallTime since;
    std::vector<MemberId> before;
    std::vector<MemberId> members;
};
// By the epoch that the change makes and the member that handed over.
using Handovers = std::map<std::pair<uint64_t, MemberId>, Handover>;

// The epochs that a member has seen without a gap. Not thread safe: one task owns it.
class RosterHistory {
public:
    static constexpr size_t kMostEpochs = 32;

    // Takes a roster as read from the platform; an epoch not above the newest is ignored. A gap
    // in the epochs drops the older ones, so that all keys count as gained in the new one.
    // Returns whether it was taken. Preconditions: none.
    bool add(const Roster& roster);

    // Forgets everything. Preconditions: none.
    void clear() { m_epochs.clear(); }

    // The newest epoch; an empty roster of epoch 0 before the first. Preconditions: none.
    const Roster& current() const;

    // When `self` gained `key`: the start of the first epoch since which it has owned it without
    // a break. Where the owner before handed over its history, the handover's time counts instead.
    // Nothing if `self` does not own it now. Preconditions: none.
    std::optional<WallTime> gainedAt(std::string_view key, const MemberId& self,
                                     const Handovers& handovers) const;

    // Owner of `key` in the epoch before the current one; nothing if that is not remembered.
    // Preconditions: none.
    std::optional<MemberId> ownerBefore(std::string_view key) const;

    // Since when `self` knows the whole history of all keys that it owns now: the latest epoch in
    // which it gained keys, or what was handed over with it. Preconditions: none.
    WallTime knownSince(const MemberId& self, const Handovers& handovers) const;

    // Epochs remembered. Preconditions: none.
    size_t size() const { return m_epochs.size(); }

private:
    // The handover that `from` made for the change to `epoch`; null if there is none.
    static const Handover* handed(const Roster& epoch, const MemberId& from,
                                  const Handovers& handovers);
    // The members before `epoch`, as a handover for it tells; empty if there is none.
    static std::vector<MemberId> toldBefore(const Roster& epoch, const Handovers& handovers);

    std::deque<Roster> m_epochs;  // Oldest first, epochs without a gap.
};

}  // namespace onyx
