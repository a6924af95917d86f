// Decides when an attempt is given up: how long its connection may take to open, how long bytes may
// stay unacknowledged, how long the first byte and the next piece of an answer are waited for, and
// with how much time left no attempt is begun.
//
// Inputs: the route's latency objective, the request's deadline, whether another attempt could
// follow; all times in milliseconds.
//
// The reason: what is left of the objective is what another upstream can be tried in. The last
// attempt has nothing to save time for and waits until the deadline.
#pragma once

#include "include/base/Time.h"

namespace onyx {

// Bounds on the signs of life of an upstream's machine.
struct ConnectionBounds {
    // Several round trips between regions (24 ms). A packet lost while a connection opens is sent
    // again after a second only, so waiting a little longer gains nothing.
    static constexpr Millis kMinConnect = 100;
    // A lost packet is sent again after 200 ms: the second time it is lost the network is cut, or
    // as bad. The most outlasts a third one, for objectives that leave the time. With 700 ms for
    // all routes, the time behind a cut was seven objectives of a lookup; worth of days with
    // trouble 0.796, with these bounds 0.800.
    static constexpr Millis kMinUnacknowledged = 300;
    static constexpr Millis kMaxUnacknowledged = 700;

    Millis connect = kMinConnect;                // For a new connection to open.
    Millis unacknowledged = kMaxUnacknowledged;  // For bytes sent to be acknowledged.

    // Bounds for a route with this objective; connections get at most `maxConnect`.
    // Preconditions: objective >= 0. Thread safety: any thread.
    static ConnectionBounds ForObjective(Millis objective, Millis maxConnect);
};

// Keep-alive probes that an upstream's machine does not answer end the connection, 3 s after the
// network to it is cut: an answer that will not come is waited for no longer. Sent only while an
// answer is due; see UpstreamExchange.
inline constexpr Millis kKeepAliveIdle = 1000;
inline constexpr int kKeepAliveCount = 2;

// With less of the deadline left, in milliseconds, no attempt is begun: a round trip and the
// shortest answer take about as long.
inline constexpr Millis kMinAttemptTime = 20;

// What the waits of an attempt depend on.
struct AttemptWait {
    bool mayRetry = false;  // Another attempt could follow this one.
    MonoTime deadline;      // Of the request.
};

// Until when the first byte of an answer is waited for. A stream's first event may take as long as
// a silence between two others, `stallTimeout`; a whole answer may take half of the time left. Both
// get twice the route's objective at least, since most late answers still come within that.
// Preconditions: none. Thread safety: any thread.
MonoTime FirstByteDeadline(const AttemptWait& wait, Millis objective, bool stream,
                           Millis stallTimeout, MonoTime now);

// Until when the next piece of an answer that has begun is waited for. Preconditions: none.
// Thread safety: any thread.
MonoTime NextPieceDeadline(const AttemptWait& wait, Millis stallTimeout, MonoTime now);

// Whether enough of the deadline is left for an attempt. Preconditions: none.
// Thread safety: any thread.
bool HasTimeForAttempt(MonoTime deadline, MonoTime now);

}  // namespace onyx
