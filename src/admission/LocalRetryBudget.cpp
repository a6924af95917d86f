#include "include/admission/LocalRetryBudget.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace onyx {

bool LocalRetryBudget::tryAcquireRetry(MonoTime now, size_t boxes) {
    if (!hasRetry(now, boxes)) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

bool LocalRetryBudget::hasRetry(MonoTime now, size_t boxes) {
    dropExpired(now);
    const double earned = m_settings.share * static_cast<double>(m_firstAttempts.size());
    const bool hasSlack = now - m_start >= m_settings.window;
    const double slack = m_settings.slack / static_cast<double>(boxes);
    const double offset = roundsAtRandom(boxes) ? roundingOffset(now) : 0;
    const double allowed = earned + (hasSlack ? slack + offset : 0);
    return static_cast<double>(m_retries.size() + 1) <= allowed;
}

// The sum of the rounded parts varies with the square root of their number. The part of the slack
// that is not planned with has to cover five standard deviations.
bool LocalRetryBudget::roundsAtRandom(size_t boxes) const {
    constexpr double kDeviations = 5;
    constexpr double kMaxDeviationPerBox = 0.5;
    const double reserve = m_settings.slack * (1 / LocalRetryBudgetSettings::kPlannedFraction - 1);
    return reserve >= kDeviations * kMaxDeviationPerBox * std::sqrt(static_cast<double>(boxes));
}

// A number from 0 to 1, the same throughout a window.
double LocalRetryBudget::roundingOffset(MonoTime now) const {
    constexpr uint64_t kSteps = 1 << 20;
    const auto window = static_cast<uint64_t>((now - m_start) / m_settings.window);
    return static_cast<double>(HashPair(m_seed, window) % kSteps) / kSteps;
}

size_t LocalRetryBudget::retries(MonoTime now) {
    dropExpired(now);
    return m_retries.size();
}

void LocalRetryBudget::dropExpired(MonoTime now) {
    const MonoTime oldest = now - m_settings.window;
    while (!m_firstAttempts.empty() && m_firstAttempts.front() < oldest) {
        m_firstAttempts.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() < oldest) {
        m_retries.pop_front();
    }
}

bool LocalRetryBudgets::tryAcquireRetry(const ServiceId& service, size_t boxesKnown, MonoTime now) {
    return budgetOf(service).tryAcquireRetry(now, std::max(m_settings.minBoxes, boxesKnown));
}

bool LocalRetryBudgets::hasRetry(const ServiceId& service, size_t boxesKnown, MonoTime now) {
    return budgetOf(service).hasRetry(now, std::max(m_settings.minBoxes, boxesKnown));
}

LocalRetryBudget& LocalRetryBudgets::budgetOf(const ServiceId& service) {
    return m_budgets.try_emplace(service, m_settings, m_start, m_seed).first->second;
}

}  // namespace onyx
