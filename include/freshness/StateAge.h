// Computes the time as of which a store response is valid, and from it the age of the state that
// this box caches. Inputs: when the request was sent and when the response arrived, on the steady
// clock, in milliseconds.
//
// A box may accept a credential only while its cached state includes every change that was
// acknowledged up to a bounded time ago. The state is valid as of the time at which the request was
// *sent*, never as of the arrival of the response: the response may have been in transit, or this
// box suspended, for any length of time.
#pragma once

#include "include/base/Time.h"

#include <algorithm>
#include <optional>

namespace onyx {

// The time as of which the response to a watch is valid. A watch that ends without changes was held
// for its whole wait, since a change would have ended it: it confirms the state up to its sending
// plus the wait, provided that this much time has passed on this box. A watch that ends with
// changes confirms the state only up to its sending.
// Preconditions: sent <= arrived. Thread safety: any thread.
inline MonoTime WatchConfirmedAsOf(MonoTime sent, MonoTime arrived, Millis wait, bool empty) {
    return empty && arrived - sent >= wait ? sent + wait : sent;
}

// How long the next watch may be held so that the state gets no older than `maxWait` while the
// store responds. A watch that ended with changes confirms only what was acknowledged before it was
// sent; if the next one were held for all of `maxWait`, the state would get twice as old. `age`: of
// the state; `minWait`: the lower limit of the result. Preconditions: 0 <= minWait <= maxWait.
// Thread safety: any thread.
inline Millis WaitForMaxAge(Millis maxWait, Millis age, Millis minWait) {
    return std::clamp(maxWait - age, minWait, maxWait);
}

// How long a box holds its next watch, between half of `maxWait` and `maxWait`. A change ends the
// watches of all boxes at the same moment. If the next watches were equally long, the state of all
// boxes would stay equally old, and when the store stops responding no box would have newer state
// than the others. `draw`: a random number.
// Preconditions: maxWait >= 0. Thread safety: any thread.
inline Millis StaggeredWait(Millis maxWait, uint64_t draw) {
    const Millis half = maxWait / 2;
    return maxWait - static_cast<Millis>(draw % static_cast<uint64_t>(half + 1));
}

// Tracks the age of cached state. Not thread safe: one task owns it.
class StateAge {
public:
    // The state includes everything that was acknowledged before `asOf`. Confirmations that are
    // older than the newest one have no effect. Returns whether this one is the newest.
    // Preconditions: `asOf` is when a request was sent that has been answered since.
    bool confirm(MonoTime asOf) {
        const bool isNewest = !m_asOf || *m_asOf < asOf;
        if (isNewest) {
            m_asOf = asOf;
        }
        return isNewest;
    }

    // Age of the state, or nothing if there is none. Preconditions: none.
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
