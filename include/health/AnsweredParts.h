// The parts of prompts of which this box lately passed on a whole answer. Such a part does not
// crash the upstreams that answer it, whatever other parts and requests do.
//
// Inputs: the parts of each answered request, with the time of the answer.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace onyx {

// Thread safety: none; one task owns it.
class AnsweredParts {
public:
    // A part counts as sound for this long after an answer, in milliseconds.
    static constexpr Millis kSoundMs = 2000;
    // Answers are remembered for at least this long, in milliseconds, unless kMaxParts are.
    static constexpr Millis kRetentionMs = 60000;
    static constexpr size_t kMaxParts = 4096;

    // Records a whole answer. Preconditions: `now` does not decrease between calls.
    void note(uint64_t part, MonoTime now);

    // Returns whether the part was answered within kSoundMs. Preconditions: as for note().
    bool isSound(uint64_t part, MonoTime now) const;

    // Returns whether an answer is remembered. Preconditions: none.
    bool wasAnswered(uint64_t part) const;

private:
    using Times = std::unordered_map<uint64_t, MonoTime>;

    Times m_recent;  // Since m_since.
    Times m_older;   // Those before.
    MonoTime m_since;
};

}  // namespace onyx
