// Remembers which requests were refused lately and when their callers may return, so that those who
// return earlier, or repeat at once, do not get ahead of those who wait.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace onyx {

// Not thread safe: one task owns it.
class RefusedRequests {
public:
    // Entries; when it is full, the oldest is dropped.
    static constexpr size_t kMaxRequests = 1024;

    // Records that the request's caller may return at `until`. Preconditions: none.
    void note(uint64_t fingerprint, MonoTime until);
    // Returns the time until its caller may return, in milliseconds; nothing if that has passed or
    // the request is not on record. Preconditions: none.
    std::optional<Millis> remaining(uint64_t fingerprint, MonoTime now) const;

private:
    struct Entry {
        uint64_t fingerprint = 0;
        MonoTime until;
    };

    std::unordered_map<uint64_t, MonoTime> m_until;  // By fingerprint.
    std::deque<Entry> m_entries;                     // Oldest first.
};

}  // namespace onyx
