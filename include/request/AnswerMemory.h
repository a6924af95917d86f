// The memory of a box for bodies of answers that it collects before it passes them on.
//
// An exchange with an upstream holds at most kMaxWholeBody bytes of a body, besides the buffers of
// its connection. This bounds what all exchanges of a box hold together, so that upstreams that
// send large bodies at the same time cannot exhaust the box's memory.
#pragma once

#include <algorithm>
#include <cstddef>

namespace onyx {

// Not thread safe: one io_context.
class AnswerMemory {
public:
    static constexpr size_t kMaxBytes = size_t{16} << 20;  // Of one box.

    // `bytes`: what all exchanges may hold; kMaxBytes at most. Preconditions: none.
    explicit AnswerMemory(size_t bytes = kMaxBytes) : m_bytes(std::min(bytes, kMaxBytes)) {}

    // Takes `bytes` of the memory. Returns false, and takes none, if that many are not left.
    // Preconditions: none.
    bool tryTake(size_t bytes) {
        if (bytes > m_bytes - m_taken) {
            return false;
        }
        m_taken += bytes;
        return true;
    }

    // Gives `bytes` back. Preconditions: they were taken.
    void release(size_t bytes) { m_taken -= bytes; }

    // Returns the bytes that are taken. Preconditions: none.
    size_t taken() const { return m_taken; }

private:
    size_t m_bytes;
    size_t m_taken = 0;
};

}  // namespace onyx
