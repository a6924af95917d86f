// Decides how a planned stop proceeds: until when new requests are accepted, when they are refused,
// when requests under way are ended, and when the process may exit.
//
// Inputs: the grace period that the platform gives from the stop signal on, in milliseconds; when
// the signal came, and the time now; the number of open connections of callers. The load balancer
// probes a box once a second and removes it after two failed probes, and callers keep their
// connections open. So a box continues to accept requests for a while, then refuses them with a
// Retry-After of 0, and exits as soon as it owes nothing to a caller, or at its limit. It owes
// something to each open connection: an answer, the time to read one, or the answer to a request
// that is still arriving.
//
// The phase is a function of the time, not of a timer: a box that was suspended or starved is in
// the right one when it decides on the first request after that.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace onyx {

// All times in milliseconds since the stop signal.
struct DrainSettings {
    Millis accept = 2500;  // New requests are accepted until then.
    Millis limit = 7500;   // The process exits by then, even with active requests.

    // Returns from when on requests under way are ended, so that their callers learn that before
    // the limit. Preconditions: 0 <= accept <= limit. Thread safety: any thread.
    Millis endFrom() const;

    // Returns how long new requests are accepted, in milliseconds, in a stop with a grace period of
    // `grace` milliseconds: two and a half probe intervals of the load balancer, or a third of a
    // short grace period. Preconditions: grace > 0. Thread safety: any thread.
    static Millis DefaultAccept(Millis grace);
    // Returns the limit for a grace period of `grace` milliseconds; the rest of the grace period is
    // for writing the last answers and logs. Preconditions: grace > 0. Thread safety: any thread.
    static Millis DefaultLimit(Millis grace);
};

// The phase of a box between its start and its exit.
enum class LifecyclePhase : uint8_t {
    kServing,
    kDraining,  // Not ready any more; new requests are still accepted.
    kRefusing,  // New requests are refused, active ones are answered.
    kEnding,    // Active requests end: each caller learns what became of its own.
};

// Returns the name of `phase` in logs and metrics. Thread safety: any thread.
std::string_view LifecyclePhaseName(LifecyclePhase phase);

// The lifecycle phase of this box and its number of active requests.
// Thread safety: none; one task owns it.
class Lifecycle {
public:
    // Preconditions: the settings are valid (GatewaySettings checks them).
    explicit Lifecycle(const DrainSettings& settings) : m_settings(settings) {}

    // A stop signal came at `now`; only the first counts. Preconditions: none.
    void startDraining(MonoTime now) { m_stopSignal = m_stopSignal.value_or(now); }

    // Returns whether a planned stop has begun; answers then close their connections.
    // Preconditions: none.
    bool draining() const { return m_stopSignal.has_value(); }

    // Returns the phase at `now`. Preconditions: none.
    LifecyclePhase phase(MonoTime now) const;
    // Returns whether new requests are refused at `now`. Preconditions: none.
    bool refusing(MonoTime now) const { return phase(now) >= LifecyclePhase::kRefusing; }

    // Returns whether active requests are to end at `now`. Preconditions: none.
    bool ending(MonoTime now) const { return phase(now) == LifecyclePhase::kEnding; }

    // Returns the time since the stop signal in milliseconds, or nothing if none came.
    // Preconditions: none.
    std::optional<Millis> sinceSignal(MonoTime now) const {
        return m_stopSignal ? std::optional<Millis>(now - *m_stopSignal) : std::nullopt;
    }
    // Returns by when an answer has to be complete, or nothing while no stop has begun.
    // Preconditions: none.
    std::optional<MonoTime> answersUntil() const {
        return m_stopSignal ? std::optional<MonoTime>(*m_stopSignal + m_settings.endFrom())
                            : std::nullopt;
    }

    // Count the active requests. Preconditions: one end is recorded for each start.
    void recordRequestStart() { ++m_activeRequests; }
    void recordRequestEnd() { --m_activeRequests; }
    // Returns the number of active requests. Preconditions: none.
    size_t activeRequests() const { return m_activeRequests; }

    // Returns whether the process may exit at `now`. `connections`: of callers and of boxes that
    // relay requests of theirs, which are open. Preconditions: none.
    bool canExit(MonoTime now, size_t connections) const;

private:
    DrainSettings m_settings;
    std::optional<MonoTime> m_stopSignal;
    size_t m_activeRequests = 0;
};

}  // namespace onyx
