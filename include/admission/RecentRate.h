// Counts events of the last moments: their rate per second over a sliding window of equal steps.
#pragma once

#include "include/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace onyx {

// Not thread safe: one task owns it. Preconditions of all methods: `now` does not decrease between
// calls, and is not negative.
class RecentRate {
public:
    static constexpr size_t kSteps = 12;

    // The rate is taken over kSteps times `stepMs` milliseconds. Preconditions: stepMs > 0.
    explicit RecentRate(Millis stepMs) : m_stepMs(stepMs) {}

    // Counts `amount`, of events or of another unit.
    void add(double amount, MonoTime now);
    // Returns the amount per second.
    double perSecond(MonoTime now);

private:
    void advance(MonoTime now);

    Millis m_stepMs;
    int64_t m_step = 0;  // The one that `now` was in at the last call.
    std::array<double, kSteps> m_amounts{};
};

}  // namespace onyx
