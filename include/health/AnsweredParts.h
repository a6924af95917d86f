// The parts of prompts to which whole answers are on record, each with the time at which the
// newest of their attempts began: as of then the part did not crash the upstream that answered.
//
// Inputs: the parts of each answered request, with the time at which its attempt began.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace onyx {

// Thread safety: none; one task owns it.
class AnsweredParts {
public:
    // Answers are remembered for at least this long, in milliseconds, unless kMaxParts are.
    static constexpr Millis kRetentionMs = 60000;
    static constexpr size_t kMaxParts = 4096;

    // Records a whole answer whose attempt began at `sent`. Preconditions: `now` does not decrease
    // between calls.
    void note(uint64_t part, MonoTime sent, MonoTime now);

    // Returns when the newest answered attempt with the part began, or nullopt if no answer is
    // remembered. Preconditions: none.
    std::optional<MonoTime> answered(uint64_t part) const;

private:
    using Times = std::unordered_map<uint64_t, MonoTime>;

    Times m_recent;  // Since m_since.
    Times m_older;   // Those before.
    MonoTime m_since;
};

}  // namespace onyx
