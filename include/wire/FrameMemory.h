// What the frames that a box is reading, or has to send, may hold together. Large frames and long
// queues are rare: links share the memory, so that many that need it cannot exhaust the box's.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace onyx {

// Not thread safe: one io_context.
class FrameMemory {
public:
    // `bytes`: what all frames may hold together. Preconditions: none.
    explicit FrameMemory(size_t bytes) : m_bytes(bytes) {}

    // Takes `bytes`. Returns false, and takes none, if there is not enough. Preconditions: none.
    bool take(size_t bytes) {
        const bool fits = bytes <= m_bytes - m_held;
        m_held += fits ? bytes : 0;
        return fits;
    }
    // Releases `bytes`. Preconditions: they were taken.
    void release(size_t bytes) { m_held -= bytes; }

    // Returns the bytes that are held. Preconditions: none.
    size_t held() const { return m_held; }

private:
    size_t m_bytes;
    size_t m_held = 0;
};

// A part of a FrameMemory, released when this is destroyed. Shares the memory, since frames that
// are being read when a box ends are destroyed after it. Not thread safe: one io_context.
class FrameShare {
public:
    // `memory`: null if nothing bounds it. Preconditions: none.
    explicit FrameShare(std::shared_ptr<FrameMemory> memory) : m_memory(std::move(memory)) {}
    FrameShare(const FrameShare&) = delete;
    ~FrameShare() {
        if (m_memory) {
            m_memory->release(m_held);
        }
    }

    // Takes or releases memory, so that `bytes` are held. Returns false, and changes nothing, if
    // there is not enough. Preconditions: none.
    bool hold(size_t bytes) {
        if (m_memory && bytes > m_held && !m_memory->take(bytes - m_held)) {
            return false;
        }
        if (m_memory && bytes < m_held) {
            m_memory->release(m_held - bytes);
        }
        m_held = bytes;
        return true;
    }

private:
    std::shared_ptr<FrameMemory> m_memory;
    size_t m_held = 0;
};

}  // namespace onyx
