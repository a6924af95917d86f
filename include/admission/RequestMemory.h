// Decides which requests of callers may take memory of the box, from the first byte that is read
// of one until the last reference to it is dropped: while it is read, while it waits, and in each
// attempt.
//
// A part of the memory, kSmallReserve, is for small requests only, so that large ones cannot keep
// them out. Where memory is short, unfinished requests give theirs up: a large request takes it
// from large ones that have stalled; a small one also from large ones that have not, and then from
// small ones that have stalled. The one that received least of late goes first, since bytes that
// are held without progress cost their caller nothing. Requests that were read whole keep their
// memory: they run, and end by their deadline.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace onyx {

// Not thread safe: one io_context.
class RequestMemory {
public:
    static constexpr size_t kSmallBytes = size_t{64} << 10;  // A request that holds more is large.
    static constexpr double kSmallReserve = 0.25;            // Of the memory.
    // A request has stalled if it received less than kMinProgress bytes in the current and the
    // previous window of this many milliseconds.
    static constexpr Millis kWindowMs = 500;
    static constexpr size_t kMinProgress = size_t{16} << 10;

    using Holder = uint64_t;

    // `bytes`: what all requests may hold together. Preconditions: none.
    explicit RequestMemory(size_t bytes) : m_bytes(bytes) {}

    // Begins a request that is being read. `onEvict` is called at most once, when its memory is
    // needed for another request: it releases all of it before it returns, and may close() it, but
    // not the holder that is taking memory. Preconditions: none.
    Holder open(MonoTime now, std::function<void()> onEvict);

    // Takes `bytes` more. Returns false, and takes none, if there is not enough memory and no
    // unfinished request has to give it up. Preconditions: the holder is open.
    bool take(Holder holder, size_t bytes, MonoTime now);

    // Records that `bytes` of the request have arrived. Preconditions: the holder is open.
    void noteProgress(Holder holder, size_t bytes, MonoTime now);

    // The request was read whole: it is not evicted any more. Preconditions: the holder is open.
    void noteWhole(Holder holder);

    // Releases `bytes`. Preconditions: the holder took them.
    void release(Holder holder, size_t bytes);

    // Releases all that the holder has, and ends it. Preconditions: the holder is open.
    void close(Holder holder);

    // Returns the bytes that are held. Preconditions: none.
    size_t held() const { return m_held; }
    // Returns the bytes that requests may hold. Preconditions: none.
    size_t capacity() const { return m_bytes; }
    // Returns how many requests gave their memory up. Preconditions: none.
    uint64_t evictions() const { return m_evictions; }
    // Returns how often take() has returned false. Preconditions: none.
    uint64_t refusals() const { return m_refusals; }

private:
    struct Request {
        size_t held = 0;
        bool isReading = true;
        MonoTime opened;
        MonoTime windowStart;
        size_t current = 0;   // Bytes received in the window.
        size_t previous = 0;  // Bytes received in the window before.
        std::function<void()> onEvict;

        bool isLarge() const { return held > kSmallBytes; }
        void advance(MonoTime now);
        size_t progress() const { return current + previous; }
        bool hasStalled(MonoTime now) const;
    };

    bool fits(const Request& request, size_t bytes) const;
    bool evictFor(Holder holder, bool isLarge, MonoTime now);
    void setHeld(Request& request, size_t held);

    size_t m_bytes;
    size_t m_held = 0;
    size_t m_largeHeld = 0;  // Of it, by large requests.
    Holder m_next = 0;
    uint64_t m_evictions = 0;
    uint64_t m_refusals = 0;
    std::map<Holder, Request> m_requests;
};

// A request's part of a RequestMemory, released when this is destroyed. Shares the memory, since
// requests that are open when a box ends are destroyed after it. Not thread safe: one io_context.
class MemoryShare {
public:
    // A share of nothing. Preconditions: none.
    MemoryShare() = default;
    // Preconditions: `memory` is not null; `onEvict` as for RequestMemory::open().
    MemoryShare(std::shared_ptr<RequestMemory> memory, MonoTime now, std::function<void()> onEvict)
        : m_memory(std::move(memory)), m_holder(m_memory->open(now, std::move(onEvict))) {}
    MemoryShare(MemoryShare&& other) noexcept { *this = std::move(other); }
    MemoryShare& operator=(MemoryShare&& other) noexcept {
        reset();
        m_memory = std::exchange(other.m_memory, nullptr);
        m_holder = other.m_holder;
        return *this;
    }
    ~MemoryShare() { reset(); }

    // Whether it can take memory. Preconditions: none.
    explicit operator bool() const { return m_memory != nullptr; }
    // As in RequestMemory. Preconditions: it is no share of nothing.
    bool take(size_t bytes, MonoTime now) { return m_memory->take(m_holder, bytes, now); }
    void release(size_t bytes) { m_memory->release(m_holder, bytes); }
    void noteProgress(size_t bytes, MonoTime now) { m_memory->noteProgress(m_holder, bytes, now); }
    void noteWhole() { m_memory->noteWhole(m_holder); }
    // Becomes a share of nothing. Preconditions: none.
    void reset() {
        if (const auto memory = std::exchange(m_memory, nullptr)) {
            memory->close(m_holder);
        }
    }

private:
    std::shared_ptr<RequestMemory> m_memory;
    RequestMemory::Holder m_holder = 0;
};

}  // namespace onyx
