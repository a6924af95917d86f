// Computes the share of this box's recent requests that asked for a given prompt. An input of
// ChooseUpstream.
//
// Callers are distributed over the boxes at random, so a prompt's share at this box is an estimate
// of its share on the whole site. The estimate needs no message and is available before any load
// can have been reported. On a site of many boxes, a prompt that is one of hundreds arrives at one
// box once in several minutes; a prompt that arrives again within seconds is in demand at all
// boxes.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace onyx {

// Not thread safe: one task owns it.
class PromptShares {
public:
    // Requests older than this, in milliseconds, are not counted. The window is the duration of a
    // few answers: a prompt that half of the boxes receive once a second is then detected by nine
    // in ten of them.
    static constexpr Millis kWindow = 4000;
    // Minimum denominator of a share, in requests: the first few requests of a box are too few for
    // an estimate.
    static constexpr size_t kMinRequests = 16;
    // Maximum number of requests kept; older ones are dropped. This is far more than one of many
    // boxes serves within kWindow.
    static constexpr size_t kCapacity = 4096;

    // Records a request for this prompt. Preconditions: times do not decrease.
    void note(uint32_t prompt, MonoTime now);

    // Returns the share of the requests within kWindow that asked for `prompt`, not counting the
    // first of them: 0 to 1. Preconditions: none.
    double share(uint32_t prompt, MonoTime now) const;

private:
    struct Entry {
        uint32_t prompt = 0;
        MonoTime at;
    };

    std::deque<Entry> m_entries;  // Oldest first.
};

}  // namespace onyx
