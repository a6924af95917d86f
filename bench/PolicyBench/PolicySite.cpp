#include "bench/PolicyBench/PolicySite.h"

#include "include/placement/LoadBound.h"

#include <algorithm>

namespace onyx::bench {

namespace {

constexpr uint64_t kCacheTokens = 400000;  // An engine's prefix cache.
constexpr Millis kWarmUp = 15000;          // Samples before this do not count.

double Quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(q * static_cast<double>(values.size() - 1))];
}

}  // namespace

PolicySite::PolicySite(const TraceSettings& settings)
    : m_settings(settings),
      m_inFlight(static_cast<size_t>(settings.engines), 0),
      m_leaving(static_cast<size_t>(settings.engines), 0),
      m_caches(static_cast<size_t>(settings.engines)) {}

void PolicySite::start(uint16_t engine, const Arrival& arrival) {
    ++m_inFlight[engine];
    Cache& cache = m_caches[engine];
    const auto held = cache.chats.find(arrival.chat);
    uint32_t cached = 0;
    if (held != cache.chats.end()) {
        cached = std::min(held->second->second, arrival.priorTokens);
        cache.used -= held->second->second;
        cache.recent.erase(held->second);
        cache.chats.erase(held);
    }
    m_possible += arrival.priorTokens;
    m_cached += cached;
    cache.recent.emplace_front(arrival.chat, arrival.promptTokens);
    cache.chats[arrival.chat] = cache.recent.begin();
    cache.used += arrival.promptTokens;
    while (cache.used > kCacheTokens) {
        cache.used -= cache.recent.back().second;
        cache.chats.erase(cache.recent.back().first);
        cache.recent.pop_back();
    }
}

void PolicySite::end(uint16_t engine) {
    --m_inFlight[engine];
}

void PolicySite::sample(double multiple, int floor) {
    m_samples.push_back(m_inFlight);
    if (static_cast<Millis>(m_samples.size()) * kSampleEvery < kWarmUp) {
        return;
    }
    double total = 0;
    int engines = 0;
    int most = 0;
    for (size_t i = 0; i < m_inFlight.size(); ++i) {
        if (m_leaving[i]) {
            continue;
        }
        total += m_inFlight[i];
        most = std::max(most, m_inFlight[i]);
        ++engines;
    }
    const double mean = engines == 0 ? 0 : total / engines;
    m_skews.push_back(mean > 0 ? most / mean : 1);
    const BoundSettings bound{multiple, 1.0, floor, 1 << 20};
    m_over += most > AllowedInFlight(bound, mean) ? 1 : 0;
}

int PolicySite::reported(uint16_t engine, Millis lag) const {
    const auto back = static_cast<size_t>(lag / kSampleEvery) + 1;
    return m_samples.size() < back ? 0 : m_samples[m_samples.size() - back][engine];
}

PolicyFigures PolicySite::figures() const {
    PolicyFigures figures;
    figures.skewMedian = Quantile(m_skews, 0.5);
    figures.skew99 = Quantile(m_skews, 0.99);
    figures.skewWorst = Quantile(m_skews, 1.0);
    figures.reuse =
        m_possible == 0 ? 0 : static_cast<double>(m_cached) / static_cast<double>(m_possible);
    figures.overBound =
        m_skews.empty() ? 0 : static_cast<double>(m_over) / static_cast<double>(m_skews.size());
    return figures;
}

}  // namespace onyx::bench
