// The answers that upstreams are writing through this box. One that goes on for longer than any
// attempt ran before it crashed its upstream shows, as long as it goes on, that its request and the
// parts of its prompt do not crash the upstreams that answer them.
//
// Inputs: the fingerprints of attempts whose answers have begun, until the attempts end.
#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace onyx {

// Thread safety: none; one task owns it.
class RunningAnswers {
public:
    // Records that the upstream has begun to answer the attempt that was sent at `sent`. `now`:
    // when its first event came. Preconditions: called at most once for an attempt; sent <= now.
    void noteBegun(std::span<const uint64_t> fingerprints, MonoTime sent, MonoTime now);
    // Records that the attempt that was sent at `sent` has ended, whether or not its answer had
    // begun. Preconditions: none.
    void noteEnded(std::span<const uint64_t> fingerprints, MonoTime sent);

    // Returns when the newest attempt with the fingerprint was sent whose answer has been going on
    // for longer than `time`, in milliseconds; nullopt if there is none. Preconditions: none.
    std::optional<MonoTime> newestSince(uint64_t fingerprint, Millis time, MonoTime now) const;

private:
    struct Answer {
        MonoTime sent;
        MonoTime begun;
    };

    std::unordered_map<uint64_t, std::vector<Answer>> m_answers;
};

}  // namespace onyx
