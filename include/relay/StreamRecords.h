// The records of streams that a box keeps: which service and software version began each stream, so
// that a caller that takes it up again is sent to the same version.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace onyx {

// What began a stream: its events can only be continued by the same.
struct StreamOrigin {
    std::string service;
    std::string version;  // Of the upstream's software; empty: records disagree.
    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

// Thread safety: none; one task owns it.
class StreamRecords {
public:
    // Bound on records. Beyond it the one that expires first is dropped.
    static constexpr size_t kMaxRecords = 16384;

    // Keeps the origin of `stream` until `until`. A key that stands for several streams, such as a
    // fingerprint, may get different origins: its version is empty from then on.
    // Preconditions: `now` does not decrease between calls.
    void put(uint64_t stream, const StreamOrigin& origin, MonoTime until, MonoTime now);

    // Returns the origin of `stream`, or nullopt if it is not on record.
    // Preconditions: as for put().
    std::optional<StreamOrigin> find(uint64_t stream, MonoTime now) const;

    // Returns the number of records. Preconditions: none.
    size_t size() const { return m_records.size(); }

private:
    struct Record {
        StreamOrigin origin;
        std::multimap<MonoTime, uint64_t>::iterator expiry;
    };

    void dropFirst();

    std::unordered_map<uint64_t, Record> m_records;
    std::multimap<MonoTime, uint64_t> m_expiry;  // Streams by the end of their records.
};

}  // namespace onyx
