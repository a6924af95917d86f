// Decides to which of its group's collectors a box reports: to the first one, and to the next while
// no shares come through the one before.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <optional>

namespace onyx {

// Not thread safe: one task owns it.
class CollectorChoice {
public:
    // Time in milliseconds without reports after which the first collector is tried again.
    static constexpr Millis kPause = 2000;

    // Returns the index of the collector to which a report is sent now. Preconditions: count > 0;
    // `now` does not decrease between calls.
    size_t choose(size_t count, MonoTime now);
    // Notes that shares came through a collector. Preconditions: none.
    void noteShares(size_t collector);

private:
    size_t m_index = 0;
    std::optional<MonoTime> m_reportedAt;
    std::optional<MonoTime> m_unansweredSince;  // The first report since the last shares.
};

}  // namespace onyx
