// Retries as a share of first tries, so that a failing upstream is not met with more load.
#pragma once

#include <algorithm>

namespace onyx {

// Total tries never exceed (1 + share) x first tries. Not thread safe: one task owns it.
class RetryBudget {
public:
    static constexpr double kMostSaved = 50;  // A long quiet time does not pay for a storm.

    // `share`: retries allowed for each first try. Preconditions: 0 <= share <= 1.
    explicit RetryBudget(double share) : m_share(share) {}

    // Counts a first try. Preconditions: none.
    void countFirstTry() { m_saved = std::min(kMostSaved, m_saved + m_share); }

    // Takes one retry out of the budget; false if there is none. Preconditions: none.
    bool takeRetry() {
        if (m_saved < 1.0) {
            return false;
        }
        m_saved -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_saved = 0;
};

}  // namespace onyx
