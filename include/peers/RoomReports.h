// The newest counts of several senders about one service, each for a limited time. Used by the
// collectors and roots of RoomExchange.
#pragma once

#include "include/admission/RoomCounts.h"

#include <map>
#include <optional>
#include <string>

namespace onyx {

// Age in milliseconds up to which counts and shares of other boxes are used: three periods.
inline constexpr Millis kMaxRoomAge = 600;

// Not thread safe: one task owns it.
class RoomReports {
public:
    // `maxSenders`: further ones are ignored. Preconditions: none.
    explicit RoomReports(size_t maxSenders) : m_maxSenders(maxSenders) {}

    // Replaces the counts of `from`. Preconditions: `now` does not decrease between calls.
    void put(const std::string& from, RoomCounts counts, MonoTime now);
    // Returns the sum of the counts that are not too old and drops the others; nothing if there
    // are none. Preconditions: as above.
    std::optional<RoomCounts> sum(MonoTime now);

    // Whether there are counts of `from`. Preconditions: none.
    bool contains(const std::string& from) const { return m_entries.contains(from); }
    bool empty() const { return m_entries.empty(); }

    // Calls `visit(sender)` for each. Preconditions: none.
    template <class Visit>
    void forEachSender(Visit visit) const {
        for (const auto& [from, entry] : m_entries) {
            visit(from);
        }
    }

private:
    struct Entry {
        RoomCounts counts;
        MonoTime at;
    };

    void dropOld(MonoTime now);

    size_t m_maxSenders;
    std::map<std::string, Entry> m_entries;  // By sender.
};

}  // namespace onyx
