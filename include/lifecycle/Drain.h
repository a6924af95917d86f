// Decides how a planned stop goes: until when new requests are taken, when they are refused, and
// when the process may end.
//
// Inputs: the grace that the platform gives from the stop signal on, in milliseconds; the requests
// under way. The balancer lets go of a box after two questions without a good answer, one a second,
// and callers keep their connections; so a box goes on taking requests for a while, then refuses
// them with a Retry-After of 0, and ends as soon as nothing is under way, or at its limit.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace onyx {

// All times in milliseconds, from the stop signal on.
struct DrainSettings {
    Millis accept = 2500;  // New requests are still taken.
    Millis limit = 7500;   // The process ends at the latest.

    // How long new requests are taken of a stop with this grace: two questions of the balancer and
    // a half, or a third of a short grace. Preconditions: grace > 0. Thread safety: any thread.
    static Millis DefaultAccept(Millis grace);
    // The limit for this grace; the rest of it is for writing the last answers and logs.
    // Preconditions: grace > 0. Thread safety: any thread.
    static Millis DefaultLimit(Millis grace);
};

// How far a box's life has come.
enum class LifecyclePhase : uint8_t {
    kServing,
    kDraining,  // Not ready any more; new requests are still taken.
    kRefusing,  // New requests are refused, those under way are answered.
};

// Not thread safe: one task owns it.
class Lifecycle {
public:
    // A planned stop begins, or its time for new requests is over. Preconditions: a phase follows
    // the one before it.
    void startDraining() { m_phase = LifecyclePhase::kDraining; }
    void startRefusing() { m_phase = LifecyclePhase::kRefusing; }

    // Whether a planned stop has begun: answers close their connections. Preconditions: none.
    bool draining() const { return m_phase != LifecyclePhase::kServing; }
    // Whether new requests are refused. Preconditions: none.
    bool refusing() const { return m_phase == LifecyclePhase::kRefusing; }

    // Count a request in and out. Preconditions: each that began ends once.
    void recordRequestStart() { ++m_activeRequests; }
    void recordRequestEnd() { --m_activeRequests; }
    // Requests under way. Preconditions: none.
    size_t activeRequests() const { return m_activeRequests; }

    // Whether the process may end, `sinceSignal` after the stop signal. Preconditions: none.
    bool canExit(const DrainSettings& settings, Millis sinceSignal) const {
        return m_activeRequests == 0 || sinceSignal >= settings.limit;
    }

private:
    LifecyclePhase m_phase = LifecyclePhase::kServing;
    size_t m_activeRequests = 0;
};

}  // namespace onyx
