// Guards the order of one answer's tokens across attempts: the caller sees each token once and in
// order, or an error. A pure state machine.
#pragma once

#include <cstdint>

namespace onyx {

// What to do with a token.
enum class TokenStep : uint8_t {
    kForward,    // It is the next one.
    kDuplicate,  // The caller has it already: drop it.
    kGap,        // A token is missing before it: this attempt cannot go on.
    kForeign,    // It belongs to another attempt: drop it.
};

// Not thread safe: one task owns it.
class TokenSequence {
public:
    // Starts attempt `id`; tokens of earlier attempts are foreign from now on. Preconditions: id
    // was not used before.
    void startAttempt(uint64_t id) { m_attempt = id; }

    // Judges a token and, if it is forwarded, counts it. Preconditions: none.
    TokenStep accept(uint64_t attempt, uint32_t index) {
        if (attempt != m_attempt) {
            return TokenStep::kForeign;
        }
        if (index < m_next) {
            return TokenStep::kDuplicate;
        }
        if (index > m_next) {
            return TokenStep::kGap;
        }
        ++m_next;
        return TokenStep::kForward;
    }

    // Index of the next token that the caller needs: where another attempt resumes.
    // Preconditions: none.
    uint32_t next() const { return m_next; }

private:
    uint64_t m_attempt = 0;
    uint32_t m_next = 0;
};

}  // namespace onyx
