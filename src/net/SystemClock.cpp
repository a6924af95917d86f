#include "include/net/SystemClock.h"

#include <array>
#include <atomic>

namespace onyx {

namespace {

constexpr size_t kMaxClocks = 16;  // Of Linux.
std::array<std::atomic<Millis>, kMaxClocks> shifts{};

}  // namespace

Millis ReadSystemClock(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    const Millis shift = shifts.at(static_cast<size_t>(clock)).load(std::memory_order_relaxed);
    return Millis{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000 + shift;
}

void ShiftSystemClock(clockid_t clock, Millis by) {
    shifts.at(static_cast<size_t>(clock)).fetch_add(by, std::memory_order_relaxed);
}

}  // namespace onyx
