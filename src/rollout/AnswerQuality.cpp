#include "include/rollout/AnswerQuality.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr double kReferenceStep = 1.1;  // Factor by which one answer moves the estimate.
constexpr double kMinReferenceMs = 1;
// An answer is slow from this multiple of the usual time on, plus a margin in milliseconds that
// covers the jitter of short answers.
constexpr double kSlowMultiple = 2.5;
constexpr double kSlowMarginMs = 20;

}  // namespace

void LatencyReference::record(const std::string& route, Millis latency) {
    const double observed = std::max(static_cast<double>(latency), kMinReferenceMs);
    const auto [it, first] = m_usual.emplace(route, observed);
    if (first) {
        return;
    }
    const double step = observed > it->second ? kReferenceStep : 1 / kReferenceStep;
    it->second = std::max(it->second * step, kMinReferenceMs);
}

std::optional<double> LatencyReference::usual(const std::string& route) const {
    const auto it = m_usual.find(route);
    return it == m_usual.end() ? std::nullopt : std::optional<double>(it->second);
}

std::optional<bool> IsBadAnswer(AttemptEnd end, std::optional<Millis> latency,
                                std::optional<double> usual) {
    switch (end) {
        case AttemptEnd::kNotSent:
        case AttemptEnd::kMisdirected:
            return std::nullopt;
        case AttemptEnd::kDeclined:
        case AttemptEnd::kFailed:
        case AttemptEnd::kUnclear:
        case AttemptEnd::kStreamBroken:
            return true;
        case AttemptEnd::kAnswered:
            break;
    }
    if (!latency || !usual) {
        return false;
    }
    return static_cast<double>(*latency) > kSlowMultiple * *usual + kSlowMarginMs;
}

}  // namespace onyx
