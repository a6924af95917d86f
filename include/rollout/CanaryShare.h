// Decides whether a request may go to the new version of a service while that version is on trial.
//
// Inputs: a hash of the request's prompt, or a random number where it has none; the requests and
// the exposures (requests sent to the new version) that this box has counted since the order.
//
// Rules: the same prompts go to the new version on every box, so that few upstreams read them
// again. The operators limit the exposures of all boxes together to a share of all requests; each
// box keeps a lower share of its own requests, so no box has to know the others, and a box that is
// cut off keeps the limit too. A popular prompt among the chosen ones cannot exceed it either.
#pragma once

#include <cstdint>
#include <string_view>

namespace onyx {

// Not thread safe: one task owns it.
class CanaryShare {
public:
    // `limit`: the operators' limit on the share of exposures, 0 to 1. `start`: a random number
    // from 0 to 1, so that the rounding errors of many boxes cancel out.
    // Preconditions: as said for the arguments.
    CanaryShare(double limit, double start) : m_limit(limit), m_start(start) {}

    // Returns whether the request may go to `version`. Preconditions: none.
    bool admits(std::string_view version, uint64_t promptHash) const;

    // Counts a request to the service; `exposed`: it goes to the new version. Preconditions: none.
    void record(bool exposed);

    // Return the numbers counted. Preconditions: none.
    uint64_t requests() const { return m_requests; }
    uint64_t exposures() const { return m_exposures; }

private:
    double m_limit;
    double m_start;
    uint64_t m_requests = 0;
    uint64_t m_exposures = 0;
};

}  // namespace onyx
