// Estimates the number of requests in flight at an upstream if only some of the boxes report how
// many they sent it. An input of ChooseUpstream.
//
// Inputs: the counted boxes' requests in flight at each upstream of a service, and the share of all
// boxes that is counted. Holds no reference to its inputs.
//
// On a site of hundreds of boxes, a box receives the counts of one in nine of the others, while an
// upstream has only a few requests from all boxes together. Nearly every count is then 0, and a
// count of 1 that is scaled up becomes 9. With such scaling, one request in six left the upstream
// that holds its prompt by chance alone, and each time its prompt was copied to another upstream.
//
// Requests arrive at each upstream at a rate of its own; rates differ because some prompts are
// requested more often. If the rates follow a gamma distribution around the mean of the service,
// the expected number of requests from the boxes that are not counted follows from the count
// (Gelman et al., Bayesian Data Analysis, 2.6). It is close to the mean if few boxes are counted;
// the larger the counted share, the more weight the count has.
#pragma once

#include "include/base/Time.h"

#include <optional>
#include <span>

namespace onyx {

// The load that an upstream reported, and the report's age in milliseconds.
struct AgedReport {
    int load = 0;  // Requests of all boxes; the part of this box is current.
    Millis age = 0;
};

// Immutable. Thread safety: any thread.
class LoadEstimate {
public:
    // Shape of the gamma distribution of the rates: the inverse square of their relative standard
    // deviation.
    static constexpr double kRateShape = 4;
    // Approximate duration of a request, in milliseconds. Most requests counted in a report have
    // ended after this time, and for those that arrived since only the rate is known.
    static constexpr Millis kMeanRequestTime = 1000;

    // `counted`: requests in flight from the counted boxes, per upstream of the service. `share`:
    // the share of all boxes that is counted. Preconditions: 0 < share <= 1.
    LoadEstimate(std::span<const int> counted, double share);

    // Returns the mean number of requests from all boxes per upstream of the service.
    // Preconditions: none.
    double mean() const { return m_mean; }

    // Returns the estimated number of requests from all boxes at an upstream where the counted
    // boxes have `counted`. If all boxes are counted, this is `counted` itself. Preconditions:
    // counted >= 0.
    double fromCount(int counted) const;

    // Returns the same estimate based on the upstream's own report. Preconditions: report.age >= 0.
    double fromReport(const AgedReport& report) const;

private:
    // Posterior mean of the requests in flight from all boxes at an upstream, given that `observed`
    // of them were counted among the share `observedShare` of all.
    double expectedLoad(int observed, double observedShare) const {
        return (kRateShape + observed) / (kRateShape / m_mean + observedShare);
    }

    double m_share;
    double m_mean = 0;
};

}  // namespace onyx
