// Timeouts of one attempt: for opening its connection, for the acknowledgement of sent bytes, and
// for the first byte and each further piece of the answer. Also the minimum time before the
// deadline that is required to start an attempt.
//
// Inputs: the route's latency objective, the request's deadline, and whether another attempt could
// follow. All durations are in milliseconds.
//
// An attempt that another one could follow may be given up early, so that part of the objective is
// left for trying another upstream. An upstream that is silent may be sound, so it is given up only
// once all that the next attempt needs is assured, and waited for until the deadline otherwise. The
// last attempt has no reason to save time.
#pragma once

#include "include/base/Time.h"

namespace onyx {

// Timeouts that detect an unreachable upstream machine.
struct ConnectionBounds {
    // Several round trips between regions (24 ms). A packet lost while a connection opens is
    // retransmitted only after 1 s, so a slightly longer timeout gains nothing.
    static constexpr Millis kMinConnect = 100;
    // A lost packet is retransmitted after 200 ms. If the retransmission is lost as well, the
    // network is cut or nearly as bad. The maximum outlasts a third loss, on routes whose objective
    // leaves enough time. With 700 ms for all routes, the time lost to a network cut was seven
    // times the objective of a lookup; these bounds raised the score of days with faults from 0.796
    // to 0.800.
    static constexpr Millis kMinUnacknowledged = 300;
    static constexpr Millis kMaxUnacknowledged = 700;

    Millis connect = kMinConnect;                // To open a new connection.
    Millis unacknowledged = kMaxUnacknowledged;  // Until sent bytes are acknowledged.

    // Returns the bounds for a route with the latency objective `objective`: a quarter of it to
    // connect, at least `kMinConnect` and at most `maxConnect` (which takes precedence), and
    // half of it for acknowledgements, between `kMinUnacknowledged` and `kMaxUnacknowledged`.
    // Preconditions: objective >= 0. Thread safety: any thread.
    static ConnectionBounds ForObjective(Millis objective, Millis maxConnect);
};

// TCP keep-alive: the idle time before the first probe, in milliseconds, and the number of
// unanswered probes that end the connection. A connection ends 3 s after the network to the
// upstream's machine is cut, so that no attempt waits longer for an answer that cannot arrive.
// Probes are sent only while an answer is due; see UpstreamExchange.
inline constexpr Millis kKeepAliveIdle = 1000;
inline constexpr int kKeepAliveCount = 2;

// Minimum time before the deadline, in milliseconds, to start an attempt: about one round trip plus
// the shortest answer.
inline constexpr Millis kMinAttemptTime = 20;

// How long the next bytes of an answer are waited for.
struct AnswerWait {
    MonoTime until;        // The wait ends.
    MonoTime silentUntil;  // From then on the attempt may be given up if another one can follow.
};

// How often it is asked whether an attempt at a silent upstream may be given up, in milliseconds.
inline constexpr Millis kSilenceCheckPeriod = 250;

// Inputs to the deadlines of an attempt's answer.
struct AttemptWait {
    bool mayRetry = false;  // Another attempt could follow this one.
    MonoTime deadline;      // Deadline of the request.
};

// Returns the time from which on an upstream that has sent no byte of its answer counts as silent.
// If no other attempt could follow, this is the request's deadline. Otherwise the first event of a
// stream may take `stallTimeout`, the longest silence allowed between two later events, and a whole
// answer may take half of the time left. Both get at least twice the route's objective, since most
// late answers arrive within that time, but never more than the time left. Preconditions: none.
// Thread safety: any thread.
MonoTime FirstByteDeadline(const AttemptWait& wait, Millis objective, bool stream,
                           Millis stallTimeout, MonoTime now);

// Returns the same for the next piece of an answer that has begun: `stallTimeout` from `now` and at
// most the request's deadline, or the deadline if no other attempt could follow.
// Preconditions: none. Thread safety: any thread.
MonoTime NextPieceDeadline(const AttemptWait& wait, Millis stallTimeout, MonoTime now);

// Returns whether at least `kMinAttemptTime` is left until `deadline`.
// Preconditions: none. Thread safety: any thread.
bool HasTimeForAttempt(MonoTime deadline, MonoTime now);

}  // namespace onyx
