#include "include/placement/LoadEstimate.h"

#include <cmath>
#include <numeric>

namespace onyx {

LoadEstimate::LoadEstimate(std::span<const int> counted, double share) : m_share(share) {
    if (!counted.empty()) {
        const double sum = std::accumulate(counted.begin(), counted.end(), 0);
        m_mean = sum / share / static_cast<double>(counted.size());
    }
}

double LoadEstimate::fromCount(int counted) const {
    if (m_mean <= 0) {
        return counted;
    }
    return counted + (1 - m_share) * expectedLoad(counted, m_share);
}

double LoadEstimate::fromReport(const AgedReport& report) const {
    if (m_mean <= 0) {
        return report.load;
    }
    const double remaining =
        std::exp(-static_cast<double>(report.age) / static_cast<double>(kMeanRequestTime));
    return remaining * report.load + (1 - remaining) * expectedLoad(report.load, 1);
}

}  // namespace onyx
