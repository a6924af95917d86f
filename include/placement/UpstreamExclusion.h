// Decides whether an upstream currently receives no requests at all, and why. All such reasons are
// defined here. An ejection is not one of them: it only ranks an upstream behind the others (see
// ChooseUpstream).
//
// Inputs: the state of one upstream, with times in milliseconds.
#pragma once

#include "include/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace onyx {

// Why an upstream is excluded. If several reasons apply, the first in this order is reported.
enum class ExclusionReason : uint8_t {
    kDraining,          // Marked as draining in the list of upstreams.
    kLeaving,           // Announced in an answer that it is about to shut down.
    kRegionNotAllowed,  // In a region where the request's route or team must not be served.
    kEvacuated,         // The operators are evacuating its availability zone.
    kVersion,           // Of a version that the request may not be sent to; see VersionRule.
    kBackoff,           // Asked this box to send no requests for a while.
    kBrittleFull,       // Brittle and fully loaded: it would have to turn the request away.
    kCold,              // Cold, and this box may send it no request now (see ColdShare).
};
inline constexpr size_t kExclusionReasonCount = 8;

// Returns the reason's name as used in logs and metrics. Thread safety: any thread.
std::string_view ExclusionReasonName(ExclusionReason reason);

// The state of an upstream that determines whether it is excluded.
struct ExclusionInputs {
    bool draining = false;
    bool leaving = false;
    bool regionNotAllowed = false;   // For the request being placed.
    bool evacuated = false;          // Its zone is being evacuated.
    bool versionNotAllowed = false;  // For the request being placed.
    bool brittleFull = false;        // Brittle, and all its slots are taken.
    std::optional<Millis> backoff;   // Time left for which it accepts no request, in milliseconds.
    std::optional<Millis>
        coldWait;  // Set if cold: this box's wait before it may send, in ms; 0: none.
};

// Why an upstream is excluded, and for how long.
struct Exclusion {
    ExclusionReason reason = ExclusionReason::kDraining;
    std::optional<Millis> wait;  // Time until it is available again, in milliseconds, if known.

    // Returns true if its whole zone or version is excluded, until an operator or the end of a
    // rollout changes that.
    bool isWholesale() const {
        return reason == ExclusionReason::kEvacuated ||
               reason == ExclusionReason::kRegionNotAllowed || reason == ExclusionReason::kVersion;
    }
};

// Returns why the upstream is excluded, or nothing if it may be chosen. Preconditions: none. Thread
// safety: any thread.
std::optional<Exclusion> ExclusionOf(const ExclusionInputs& inputs);

// Counts the excluded upstreams of a service by reason, and keeps the shortest wait until one of
// them is available again.
class ExclusionTally {
public:
    // Preconditions: none.
    void add(const Exclusion& exclusion);
    // Returns the number of excluded upstreams: all of them, or those excluded for one reason.
    // Preconditions: none.
    size_t count() const;
    size_t count(ExclusionReason reason) const { return m_counts[static_cast<size_t>(reason)]; }
    // Returns the shortest known wait, in milliseconds. Preconditions: none.
    std::optional<Millis> wait() const { return m_wait; }
    // Returns the counts as logged, e.g. "cold=3 draining=1"; empty if no upstream is excluded.
    // Preconditions: none.
    std::string text() const;

private:
    std::array<size_t, kExclusionReasonCount> m_counts{};
    std::optional<Millis> m_wait;
};

}  // namespace onyx
