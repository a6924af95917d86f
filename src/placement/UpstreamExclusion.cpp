#include "include/placement/UpstreamExclusion.h"

#include <algorithm>
#include <numeric>

namespace onyx {

std::string_view ExclusionReasonName(ExclusionReason reason) {
    switch (reason) {
        case ExclusionReason::kDraining:
            return "draining";
        case ExclusionReason::kLeaving:
            return "leaving";
        case ExclusionReason::kRegionNotAllowed:
            return "outside-homes";
        case ExclusionReason::kEvacuated:
            return "evacuated";
        case ExclusionReason::kVersion:
            return "version";
        case ExclusionReason::kBackoff:
            return "backoff";
        case ExclusionReason::kBrittleFull:
            return "brittle";
        case ExclusionReason::kCold:
            return "cold";
    }
    return "invalid";
}

std::optional<Exclusion> ExclusionOf(const ExclusionInputs& inputs) {
    if (inputs.draining) {
        return Exclusion{ExclusionReason::kDraining, std::nullopt};
    }
    if (inputs.leaving) {
        return Exclusion{ExclusionReason::kLeaving, std::nullopt};
    }
    if (inputs.regionNotAllowed) {
        return Exclusion{ExclusionReason::kRegionNotAllowed, std::nullopt};
    }
    if (inputs.evacuated) {
        return Exclusion{ExclusionReason::kEvacuated, std::nullopt};
    }
    if (inputs.versionNotAllowed) {
        return Exclusion{ExclusionReason::kVersion, std::nullopt};
    }
    if (inputs.backoff) {
        return Exclusion{ExclusionReason::kBackoff, inputs.backoff};
    }
    if (inputs.brittleFull) {
        return Exclusion{ExclusionReason::kBrittleFull, std::nullopt};
    }
    if (inputs.coldWait.value_or(0) > 0) {
        return Exclusion{ExclusionReason::kCold, inputs.coldWait};
    }
    return std::nullopt;
}

void ExclusionTally::add(const Exclusion& exclusion) {
    ++m_counts[static_cast<size_t>(exclusion.reason)];
    if (exclusion.wait) {
        m_wait = std::min(m_wait.value_or(*exclusion.wait), *exclusion.wait);
    }
}

size_t ExclusionTally::count() const {
    return std::accumulate(m_counts.begin(), m_counts.end(), size_t{0});
}

std::string ExclusionTally::text() const {
    std::string text;
    for (size_t i = 0; i < m_counts.size(); ++i) {
        if (m_counts[i] > 0) {
            text += text.empty() ? "" : " ";
            text += ExclusionReasonName(static_cast<ExclusionReason>(i));
            text += "=" + std::to_string(m_counts[i]);
        }
    }
    return text;
}

}  // namespace onyx
