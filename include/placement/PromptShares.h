// How large a share of this box's recent requests asked for one prompt: an input of ChooseUpstream.
//
// Callers are spread over the boxes by chance, so a prompt's share here is an estimate of its share
// on the whole site, which needs no message and is there before any load could have been told. A
// prompt that is one of hundreds comes to a box of many once in minutes; one that comes again
// within seconds is asked for everywhere.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace onyx {

// Not thread safe: one task owns it.
class PromptShares {
public:
    // In milliseconds: what came longer ago no longer counts. Some answers' time: a prompt that
    // half the boxes get once a second is then known to nine in ten of them.
    static constexpr Millis kWindow = 4000;
    // A share is never of fewer requests than this: the first ones of a box say nothing yet.
    static constexpr size_t kMinRequests = 16;
    // Requests remembered, far more than a box of many serves in that time; older ones are dropped.
    static constexpr size_t kCapacity = 4096;

    // A request asked for this prompt. Preconditions: times do not fall.
    void note(uint32_t prompt, MonoTime now);

    // The share of the requests within kWindow that asked for `prompt` again, after the first one:
    // 0 to 1. Preconditions: none.
    double share(uint32_t prompt, MonoTime now) const;

private:
    struct Entry {
        uint32_t prompt = 0;
        MonoTime at;
    };

    std::deque<Entry> m_entries;  // Oldest first.
};

}  // namespace onyx
