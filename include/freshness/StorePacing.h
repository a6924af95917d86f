// Decides how a box paces its calls to the store: how long a watch is held, how long the box pauses
// after changes and after a failure, and when the responses of the store are overdue.
// StoreCallPolicy decides whether the box calls the store at all.
//
// Inputs: what peers rely on this box for, the number of boxes, whether the box can serve without
// the store, the ages of its state; all times in milliseconds.
//
// The store counts every call of every box, and a pending watch is a call. A change that ends the
// watches of all boxes costs one call for each box, so a box pauses where several changes arrive
// together and where a peer will forward them. The bounds on revoked keys and on draining upstreams
// limit every pause. On a quiet day of a site of 87 boxes these rules together reduced the cost of
// the calls from 0.069 of the operators' credit to 0.026.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace onyx {

// All times in milliseconds.
struct StorePacingSettings {
    Millis configurationWait = 2000;  // Longest wait of a configuration watch.
    Millis upstreamWait = 4000;       // Longest wait of an upstream list watch.
    Millis pausePerBox = 8;       // Pause between changes of upstreams and the next watch: this for
    Millis maxChangePause = 500;  // each box of the site, limited to this.
    Millis followPeriod = 333;    // Interval of the queries of a follower to its watcher.
    Millis followedPause = 125;   // Pause after changes of upstreams, of a box that others follow.
    Millis followedWait = 500;    // Longest wait of a watch of a box that others follow.
    Millis configurationBound = 3600;  // The configuration may be used for all up to this age.
    Millis upstreamBound = 3600;       // A change of upstreams has to take effect within this.
};

// The part of a bound on the age of state that refreshing through peers uses; see StoreCallPolicy.
struct FollowerBounds {
    Millis peerQueryAge = 1000;  // Beyond this age of its state, a box queries more peers.
    Millis maxAge = 1300;        // Beyond this age of its state, a box calls the store.
    bool leavesTime = true;      // Whether the bound leaves time for refreshing through a watcher.
};

// Fits the times of watchers and followers into two bounds: a draining upstream gets no more work
// after `drainBound`, and a configuration may be used for everything up to the age `maxAge`; both
// in milliseconds. Sets maxChangePause, followPeriod, followedPause, followedWait and the two
// bounds of `settings`. Preconditions: both >= 0. Thread safety: any thread.
FollowerBounds FitFollowers(Millis drainBound, Millis maxAge, StorePacingSettings& settings);

// How long a configuration watch is held if a configuration may be used for everything up to the
// age `maxAge`: until the next watch ends, the state gets as old as the watch is long; the rest of
// the limit is reserved for a store that stops responding. Preconditions: maxAge >= 0. Thread
// safety: any thread.
Millis ConfigurationWait(Millis maxAge);

// How long a watch for orders of the operators (evacuations, rollouts) is held if an order has to
// take effect within `bound`: a watch whose connection is silent is abandoned and sent again within
// the bound; see AnswerTime(). Preconditions: bound >= 0. Thread safety: any thread.
Millis OrderWait(Millis bound);

// How long the watch of the list of upstreams is held at most. Where the watch of the configuration
// shows a silent store within the bound on upstreams, this is settings.upstreamWait, and else what
// fits into that bound. Preconditions: none. Thread safety: any thread.
Millis UpstreamWait(const StorePacingSettings& settings);

// Whether a watch that is held for `wait` shows in time that its connection is silent, if what it
// watches has to take effect within `bound`. If not, it relies on other watches of the box.
// Preconditions: both >= 0. Thread safety: any thread.
bool ShowsSilence(Millis wait, Millis bound);

// How late the answer to a watch may be before its connection counts as silent: a part of what
// `wait` leaves of `bound`; the rest is for the next connection and the answer there. At most
// `timeout`; `timeout` if the watch does not show silence in time. `lateness`: how late the last
// answer of the store was. A slow store gets twice that, since to abandon its answers would only
// add calls. All in milliseconds. Preconditions: all >= 0. Thread safety: any thread.
Millis AnswerTime(Millis wait, Millis bound, Millis timeout, Millis lateness);

// Inputs of the pacing besides the settings.
struct StorePacingInputs {
    bool watchesForOthers = false;  // Other boxes follow the box or are about to.
    bool reliesOnPeers = false;     // The box relies on peers in normal operation.
    bool canServe = false;          // Its state is fresh enough to admit requests with a key.
    size_t siteBoxes = 1;           // Known boxes of the site, including this one.
};

// How long the next watch is held: `wait`, but at most followedWait where others follow the box.
// Preconditions: none. Thread safety: any thread.
Millis WatchWait(const StorePacingSettings& settings, const StorePacingInputs& inputs, Millis wait);

// The pause after a watch that returned changes of upstreams. Preconditions: none.
// Thread safety: any thread.
Millis PauseAfterChanges(const StorePacingSettings& settings, const StorePacingInputs& inputs);

// The longest pause after consecutive failures. Preconditions: none. Thread safety: any thread.
Millis MaxPauseAfterFailure(const StorePacingInputs& inputs);

// The pause after a failure. `previous`: the pause after the preceding failure, 0 if this one is
// the first; the pause doubles up to MaxPauseAfterFailure(). Preconditions: none. Thread safety:
// any thread.
Millis PauseAfterFailure(Millis previous, const StorePacingInputs& inputs);

// The wait of the first watch after a failure, and the shortest of any watch: a box should detect
// the recovery of the store at once, not after the wait of a whole watch.
inline constexpr Millis kMinWatchWaitMs = 10;

// Ages of the parts of the cached state, in milliseconds; nothing for a part that is missing.
struct StateAges {
    std::optional<Millis> configuration;
    std::optional<Millis> upstreams;

    // The greater of the two ages; nothing if a part is missing. Preconditions: none.
    std::optional<Millis> older() const;
};

// Whether a part of the state is missing, or older than it gets while the store responds. The store
// then does not respond to this box, and peers are queried. Preconditions: none. Thread safety: any
// thread.
bool IsOverdue(const StorePacingSettings& settings, const StateAges& ages);

}  // namespace onyx
