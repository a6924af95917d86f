#include "include/admission/RecentRate.h"

#include <algorithm>
#include <numeric>

namespace onyx {

void RecentRate::add(double amount, MonoTime now) {
    advance(now);
    m_amounts[static_cast<size_t>(m_step) % kSteps] += amount;
}

double RecentRate::perSecond(MonoTime now) {
    advance(now);
    // The last step has not ended yet.
    const Millis span = static_cast<Millis>(kSteps - 1) * m_stepMs + now.ms % m_stepMs + 1;
    return std::accumulate(m_amounts.begin(), m_amounts.end(), 0.0) * 1000 /
           static_cast<double>(span);
}

void RecentRate::advance(MonoTime now) {
    const int64_t step = now.ms / m_stepMs;
    const int64_t passed = std::min<int64_t>(step - m_step, kSteps);
    for (int64_t i = 0; i < passed; ++i) {
        m_amounts[static_cast<size_t>(step - i) % kSteps] = 0;
    }
    m_step = std::max(step, m_step);
}

}  // namespace onyx
