// Decides whether an upstream gets no request now, whatever else speaks for it, and why: the one
// place where all such reasons stand. An ejection is none of them: it only puts an upstream behind
// the others (ChooseUpstream).
//
// Inputs: what is known of one upstream, with times in milliseconds.
#pragma once

#include "include/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace onyx {

// Why an upstream is left out; the first that holds counts.
enum class ExclusionReason : uint8_t {
    kDraining,          // The list says so.
    kLeaving,           // It said in an answer that it is about to end.
    kRegionNotAllowed,  // It is in a region that the request's route or team may not be served in.
    kEvacuated,         // The operators evacuate its availability zone.
    kBackoff,           // It asked this box for no requests for a while.
    kCold,  // This box has no part, or none left now, in what it bears while it is cold.
};
inline constexpr size_t kExclusionReasonCount = 6;

// The reason as it stands in logs and metrics. Thread safety: any thread.
std::string_view ExclusionReasonName(ExclusionReason reason);

// What is known of an upstream, as far as it may be left out for it.
struct ExclusionInputs {
    bool draining = false;
    bool leaving = false;
    bool regionNotAllowed = false;   // Of the request that asks.
    bool evacuated = false;          // Its zone is.
    std::optional<Millis> backoff;   // It wants no request for so long.
    std::optional<Millis> coldWait;  // It is cold, and this box waits so long; 0: no longer.
};

// An upstream is left out.
struct Exclusion {
    ExclusionReason reason = ExclusionReason::kDraining;
    std::optional<Millis> wait;  // For so long, if that is known.

    // Whether it is left out with its whole zone, until an operator changes that.
    bool isZoneWide() const {
        return reason == ExclusionReason::kEvacuated ||
               reason == ExclusionReason::kRegionNotAllowed;
    }
};

// Preconditions: none. Thread safety: any thread.
std::optional<Exclusion> ExclusionOf(const ExclusionInputs& inputs);

// How many upstreams of a service are left out, by reason, and when the first one is back.
class ExclusionTally {
public:
    // Preconditions: none.
    void add(const Exclusion& exclusion);
    // Of all, or those of one reason. Preconditions: none.
    size_t count() const;
    size_t count(ExclusionReason reason) const { return m_counts[static_cast<size_t>(reason)]; }
    // The shortest wait that is known, in milliseconds. Preconditions: none.
    std::optional<Millis> wait() const { return m_wait; }
    // As it stands in the log: "cold=3 draining=1"; empty if there is none. Preconditions: none.
    std::string text() const;

private:
    std::array<size_t, kExclusionReasonCount> m_counts{};
    std::optional<Millis> m_wait;
};

}  // namespace onyx
