#include "include/admission/LocalRetryBudget.h"

#include <algorithm>

namespace onyx {

bool LocalRetryBudget::tryAcquireRetry(MonoTime now, size_t boxes) {
    dropExpired(now);
    const double earned = m_settings.share * static_cast<double>(m_firstAttempts.size());
    const bool hasSlack = now - m_start >= m_settings.window;
    const double slack = m_settings.slack / static_cast<double>(boxes);
    const double allowed = earned + (hasSlack ? slack : 0);
    if (static_cast<double>(m_retries.size() + 1) > allowed) {
        return false;
    }
    m_retries.push_back(now);
    return true;
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

LocalRetryBudget& LocalRetryBudgets::budgetOf(const ServiceId& service) {
    return m_budgets.try_emplace(service, m_settings, m_start).first->second;
}

}  // namespace onyx
