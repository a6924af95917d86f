// Decides how a box that calls the store paces its calls: how long a watch is held, how long it
// pauses after changes and after a failure, and when the store's answers are overdue. Whether it
// calls at all: StoreCallPolicy.
//
// Inputs: what others rely on this box for, how many boxes there are, whether it can serve without
// the store, the ages of what it knows; all times in milliseconds.
//
// The reason: the store counts every call of every box, and a waiting watch is a call. A change
// that ends the watches of all boxes costs a call a box, so boxes pause where changes come together
// and where another box will tell them; and the bounds on revoked keys and on draining upstreams
// limit every pause. On a quiet day of a site of 87 boxes these rules together brought the calls
// from 0.069 of the operators' credit to 0.026.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace onyx {

// All times in milliseconds.
struct StorePacingSettings {
    Millis configurationWait = 2000;  // How long a watch for the configuration is held at most.
    Millis upstreamWait = 4000;       // The same for the list of upstreams.
    Millis pausePerBox = 8;           // After changes of upstreams, before the next watch: this for
    Millis maxChangePause = 500;      // each box of the site, and at most this.
    Millis followPeriod = 333;        // A follower asks its watcher this often.
    Millis followedPause = 125;       // After changes of upstreams, of a box that others follow.
    Millis followedWait = 500;        // How long a watch is held by a box that others follow.
};

// The part of a bound on knowledge that a detour over other boxes uses up; see StoreCallPolicy.
struct FollowerBounds {
    Millis peerQueryAge = 1000;  // A box whose knowledge is older asks more boxes,
    Millis maxAge = 1300;        // and one whose knowledge is older than this calls the store.
    bool leavesTime = true;      // Whether the bound leaves time for a detour over a watcher.
};

// Fits the times of watchers and followers into two bounds: a draining upstream gets no more work
// after `drainBound`, a configuration is fresh up to `freshLimit`. Preconditions: both >= 0.
// Thread safety: any thread.
FollowerBounds FitFollowers(Millis drainBound, Millis freshLimit, StorePacingSettings& settings);

// How long a watch for the configuration is held, where a configuration is fresh up to
// `freshLimit`: until the next watch ends, what is known is as old as the watch is long; the rest
// is for a store that stops answering. Preconditions: freshLimit >= 0. Thread safety: any thread.
Millis ConfigurationWait(Millis freshLimit);

// How long a watch for evacuations is held, where an order is to be kept within `bound`: a watch
// whose connection went silent is given up and made anew well within it.
// Preconditions: bound >= 0. Thread safety: any thread.
Millis EvacuationWait(Millis bound);

// What a box's pace depends on besides its settings.
struct StorePacingInputs {
    bool watchesForOthers = false;  // Other boxes follow it, or are about to.
    bool reliesOnPeers = false;     // It relies on other boxes in ordinary times.
    bool canServe = false;          // What it knows is young enough to admit requests with a key.
    size_t siteBoxes = 1;           // Of the site, this one included.
};

// How long the next watch is held, of one that is otherwise held for `wait`.
// Preconditions: none. Thread safety: any thread.
Millis WatchWait(const StorePacingSettings& settings, const StorePacingInputs& inputs, Millis wait);

// The pause after a watch that brought changes of upstreams. Preconditions: none.
// Thread safety: any thread.
Millis PauseAfterChanges(const StorePacingSettings& settings, const StorePacingInputs& inputs);

// The longest pause after failures in a row. Preconditions: none. Thread safety: any thread.
Millis MaxPauseAfterFailure(const StorePacingInputs& inputs);

// The pause after another failure, where the one before was followed by `previous` (0: it was the
// first in a row): doubles up to the longest. Preconditions: none. Thread safety: any thread.
Millis PauseAfterFailure(Millis previous, const StorePacingInputs& inputs);

// The first watch after a failure, and the shortest of any: whether the store is back should be
// known at once, not when a whole watch ended.
inline constexpr Millis kMinWatchWaitMs = 10;

// Ages of what a box knows, in milliseconds; nothing where it knows none.
struct StateAges {
    std::optional<Millis> configuration;
    std::optional<Millis> upstreams;

    // The age of the older one; nothing where one is not known. Preconditions: none.
    std::optional<Millis> older() const;
};

// Whether what is known is older than the store's answers would leave it: the store does not answer
// this box, and others are asked. Preconditions: none. Thread safety: any thread.
bool IsOverdue(const StorePacingSettings& settings, const StateAges& ages);

}  // namespace onyx
