// Estimates how many requests an upstream has, where only some of the boxes say how many they sent
// it: an input of ChooseUpstream.
//
// Inputs: what the counted boxes have in flight at each upstream of a service, and the part of all
// boxes that they are. Owns nothing.
//
// The pattern: on a site of hundreds of boxes a box hears a ninth of the others, and an upstream
// has a few requests of all boxes together. Then nearly every count is 0, and one that is scaled
// up says 9 for a single request: one request in six left the upstream that holds its prompt, by
// chance alone, and its prompt was copied to another one each time.
//
// The grounds: requests come to an upstream at a expectedLoad of its own, which differs between
// upstreams since some prompts are asked for more. If rates spread by a gamma distribution around
// the mean of the service, what the other boxes have given the count is known (Gelman et al.,
// Bayesian Data Analysis, 2.6): little more than the mean, the more of the count the larger the
// counted part.
#pragma once

#include "include/base/Time.h"

#include <optional>
#include <span>

namespace onyx {

// What an upstream reported of itself, how long ago, in milliseconds.
struct AgedReport {
    int load = 0;  // Requests of all boxes; this box's own as of now.
    Millis age = 0;
};

// Immutable. Thread safety: any thread.
class LoadEstimate {
public:
    // Shape of the rates' distribution: the inverse of the square of their relative spread.
    static constexpr double kRateShape = 4;
    // In milliseconds. How long a request stays, about: what a report counted has then mostly
    // ended, and what came since is known by its expectedLoad only.
    static constexpr Millis kMeanRequestTime = 1000;

    // `counted`: requests that the counted boxes have at each upstream of the service. `share`: the
    // part of all boxes that is counted. Preconditions: 0 < share <= 1.
    LoadEstimate(std::span<const int> counted, double share);

    // All boxes' requests at an upstream, on the mean of the service. Preconditions: none.
    double mean() const { return m_mean; }

    // All boxes' requests at an upstream where the counted boxes have `counted`; just these if all
    // boxes are counted. Preconditions: counted >= 0.
    double fromCount(int counted) const;

    // The same from what the upstream reported. Preconditions: report.age >= 0.
    double fromReport(const AgedReport& report) const;

private:
    // The expectedLoad that `observed` requests speak for where the part `observedShare` of all
    // could be observed, in requests that are there at a time.
    double expectedLoad(int observed, double observedShare) const {
        return (kRateShape + observed) / (kRateShape / m_mean + observedShare);
    }

    double m_share;
    double m_mean = 0;
};

}  // namespace onyx
