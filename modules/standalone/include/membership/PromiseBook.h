// Promises among the members of a roster: a member that cannot renew its lease goes on while all
// others have promised not to remove it. Both sides' memory of them. A pure state machine.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace onyx {

// Not thread safe: one task owns it. Copyable.
class PromiseBook {
public:
    // `length`: how long a promise holds. `drift`: what its giver adds for clocks that run at
    // different rates. Preconditions: length > 0.
    PromiseBook(Millis length, Millis drift) : m_length(length), m_drift(drift) {}

    // Notes that all others are asked now; returns the round's number. Preconditions: none.
    uint64_t startRound(MonoTime now);

    // `from` granted what was asked in `round`. It counts from when it was asked for, since the
    // giver counts from later. Preconditions: it is about the current roster.
    void granted(const MemberId& from, uint64_t round);

    // Whether all of `members` but `self` have promised for `now`. Preconditions: none.
    bool heldFromAll(const std::vector<MemberId>& members, const MemberId& self,
                     MonoTime now) const;

    // Forgets the promises of others: they spoke of another roster. Preconditions: none.
    void dropHeld();

    // Gives `to` a promise from now on. Preconditions: mayGive(to, now).
    void give(const MemberId& to, MonoTime now);

    // Whether `to` may get a promise: nobody has asked to remove it lately. Preconditions: none.
    bool mayGive(const MemberId& to, MonoTime now) const;

    // Whether a promise given to `to` still holds. Preconditions: none.
    bool bound(const MemberId& to, MonoTime now) const;

    // Gives `to` no more promises until `until`: it is to be removed. Preconditions: none.
    void withhold(const MemberId& to, MonoTime until) { m_withheld[to] = until; }

    // The roster changed: nobody is to be removed any more. Preconditions: none.
    void endWithholding() { m_withheld.clear(); }

private:
    static constexpr size_t kMaxRounds = 16;

    Millis m_length;
    Millis m_drift;
    std::map<MemberId, MonoTime> m_given;
    std::map<MemberId, MonoTime> m_held;
    std::map<MemberId, MonoTime> m_withheld;
    std::map<uint64_t, MonoTime> m_rounds;  // When each round was asked.
    uint64_t m_lastRound = 0;
};

}  // namespace onyx
