// Decides as of when an answer of the store counts, and so how old is what this box knows. Input:
// when the question was sent and when it was answered, on the steady clock, in milliseconds.
//
// A box may let a credential pass only while it knows every change that was acknowledged up to a
// bound ago. What it knows is as of the *sending* of a question whose answer covers it, never as of
// the answer's arrival: the answer may have been on its way, or this box frozen, for any time.
#pragma once

#include "include/base/Time.h"

#include <algorithm>
#include <optional>

namespace onyx {

// As of when a watch's answer holds. A watch that ends without changes was held for its whole wait,
// since a change would have ended it: it covers all up to its sending plus the wait, provided that
// so much time has passed here. One that ends with changes covers no more than its sending.
// Preconditions: sent <= arrived. Thread safety: any thread.
inline MonoTime WatchConfirmedAsOf(MonoTime sent, MonoTime arrived, Millis wait, bool empty) {
    return empty && arrived - sent >= wait ? sent + wait : sent;
}

// How long the next watch may be held so that what is known gets no older than `maxWait` while all
// is well. A watch that ended with changes covers only what was acknowledged before it was sent;
// were the next one held for all of `maxWait`, the knowledge would get twice as old. `age`: of what
// is known; `minWait`: a watch is held for so long at any rate. Preconditions: 0 <= minWait <=
// maxWait. Thread safety: any thread.
inline Millis WaitForMaxAge(Millis maxWait, Millis age, Millis minWait) {
    return std::clamp(maxWait - age, minWait, maxWait);
}

// How long a box holds its next watch, between half of `maxWait` and `maxWait`. A change ends the
// watches of all boxes at the same moment; were the next ones equally long, all boxes' knowledge
// would be equally old ever after, and when the store falls silent no box would have anything newer
// than the others. `draw`: a random number.
// Preconditions: maxWait >= 0. Thread safety: any thread.
inline Millis StaggeredWait(Millis maxWait, uint64_t draw) {
    const Millis half = maxWait / 2;
    return maxWait - static_cast<Millis>(draw % static_cast<uint64_t>(half + 1));
}

// Not thread safe: one task owns it.
class StateAge {
public:
    // Everything acknowledged before `asOf` is known. Older confirmations change nothing.
    // Preconditions: `asOf` is when a question was sent that was answered since.
    void confirm(MonoTime asOf) {
        if (!m_asOf || *m_asOf < asOf) {
            m_asOf = asOf;
        }
    }

    // Age of the knowledge, or nothing if there is none. Preconditions: none.
    std::optional<Millis> age(MonoTime now) const {
        if (!m_asOf) {
            return std::nullopt;
        }
        return now - *m_asOf;
    }

private:
    std::optional<MonoTime> m_asOf;
};

}  // namespace onyx
