// What a count was a short while ago: load reports speak of the past, and must be compared with
// the own count of that time.
#pragma once

#include "include/base/Time.h"

#include <algorithm>
#include <deque>

namespace onyx {

// Samples of one count over the last few seconds. Not thread safe: one task owns it.
class CountHistory {
public:
    static constexpr Millis kStep = 50;    // Samples closer than this are merged.
    static constexpr Millis kKept = 5000;  // Samples older than this are dropped.

    // Records that the count is `count` from `now` on. Preconditions: now never goes back.
    void record(int count, MonoTime now) {
        if (!m_samples.empty() && now - m_samples.back().at < kStep) {
            m_samples.back().count = std::max(m_samples.back().count, count);
            m_last = count;
            return;
        }
        m_samples.push_back({now, std::max(count, m_last)});
        m_last = count;
        while (now - m_samples.front().at > kKept) {
            m_samples.pop_front();
        }
    }

    // The highest count held within one step of `at`; 0 before the first sample.
    // Preconditions: none.
    int around(MonoTime at) const {
        int highest = 0;
        for (auto it = m_samples.rbegin(); it != m_samples.rend(); ++it) {
            if (it->at <= at + kStep) {
                highest = std::max(highest, it->count);
            }
            if (it->at <= at - kStep) {
                break;
            }
        }
        return highest;
    }

private:
    struct Sample {
        MonoTime at;
        int count;
    };
    std::deque<Sample> m_samples;
    int m_last = 0;
};

}  // namespace onyx
