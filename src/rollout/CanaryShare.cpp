#include "include/rollout/CanaryShare.h"

#include "include/base/Hash.h"

namespace onyx {

namespace {

// Part of the operators' limit that a box uses. The rest is for requests of boxes that have just
// started and for those that arrive at the new version after it has been found bad.
constexpr double kUsedShare = 0.7;
// Prompts are chosen for more than the limit, because the new version serves none of them in the
// first seconds, while its upstreams start; the count of exposures keeps the limit.
constexpr double kCohortShare = 1.2;
constexpr uint64_t kCohortSteps = 10000;

}  // namespace

bool CanaryShare::admits(std::string_view version, uint64_t promptHash) const {
    const uint64_t step = RendezvousScore(promptHash, version) % kCohortSteps;
    if (static_cast<double>(step) >= kCohortShare * m_limit * kCohortSteps) {
        return false;
    }
    const double allowed = kUsedShare * m_limit * static_cast<double>(m_requests + 1) + m_start;
    return static_cast<double>(m_exposures + 1) <= allowed;
}

void CanaryShare::record(bool exposed) {
    ++m_requests;
    if (exposed) {
        ++m_exposures;
    }
}

}  // namespace onyx
