#include "include/rollout/VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace onyx {

namespace {

// A version is bad if its number of bad answers had at most this probability at the rate of the
// version in service.
constexpr double kSignificance = 1e-4;
constexpr uint32_t kMinBadAnswers = 4;
// The assumed rate of bad answers is at least this, and is above the observed one by this factor,
// because the upstreams of the two versions are not loaded alike.
constexpr double kMinBadRate = 0.01;
constexpr double kRateMargin = 1.5;
constexpr double kMaxBadRate = 0.9;
// Of the new version's upstreams with answers, one in this many is left out, if the version has at
// least kMinUpstreams. Also the only one with answers is: it may be the faulty one.
constexpr size_t kUpstreamsPerLeftOut = 4;
constexpr size_t kMinUpstreams = 3;
// Answers of the new version that suffice to call it good; fewer, in this proportion to those of
// the version in service, where there is little traffic.
constexpr double kEnoughAnswers = 20;
constexpr double kMinAnswers = 3;
constexpr double kMinAnswerShare = 0.03;

// Returns the probability of at least `bad` bad answers among `total`, each bad with `rate`.
double TailProbability(uint32_t bad, uint32_t total, double rate) {
    const double n = total;
    double sum = 0;
    for (uint32_t k = bad; k <= total; ++k) {
        const double logTerm = std::lgamma(n + 1) - std::lgamma(k + 1.0) -
                               std::lgamma(n - k + 1.0) + k * std::log(rate) +
                               (n - k) * std::log1p(-rate);
        const double term = std::exp(logTerm);
        sum += term;
        const bool isPastMode = k > n * rate;
        if (isPastMode && term < sum * 1e-6) {
            break;
        }
    }
    return sum;
}

// Returns the rate of bad answers that a version may have beside one that had these answers.
double AllowedBadRate(const AnswerCounts& base) {
    const double observed = (base.bad + 0.5) / (base.total() + 1.0);
    return std::clamp(observed * kRateMargin, kMinBadRate, kMaxBadRate);
}

bool IsWorse(const AnswerCounts& target, double allowedRate) {
    return target.bad >= kMinBadAnswers &&
           TailProbability(target.bad, target.total(), allowedRate) < kSignificance;
}

// Sums the counts of the upstreams without those that have the most bad answers.
AnswerCounts SumWithoutWorst(std::vector<AnswerCounts> upstreams, size_t targetUpstreams) {
    const size_t leftOut =
        targetUpstreams < kMinUpstreams
            ? 0
            : (upstreams.size() + kUpstreamsPerLeftOut - 1) / kUpstreamsPerLeftOut;
    std::sort(upstreams.begin(), upstreams.end(),
              [](const AnswerCounts& a, const AnswerCounts& b) { return a.bad > b.bad; });
    AnswerCounts sum;
    for (size_t i = leftOut; i < upstreams.size(); ++i) {
        sum += upstreams[i];
    }
    return sum;
}

// The upstreams' counts, on each route and over all routes (the empty name).
std::map<std::string, std::map<uint32_t, AnswerCounts>> TargetByRoute(const VersionTally& tally) {
    std::map<std::string, std::map<uint32_t, AnswerCounts>> routes;
    for (const auto& [key, counts] : tally.target) {
        routes[key.route][key.upstream] += counts;
        routes[""][key.upstream] += counts;
    }
    return routes;
}

// The answers of the version in service on a route, or on all of them (the empty name).
AnswerCounts BaseOn(const std::string& route, const VersionTally& tally) {
    AnswerCounts sum;
    for (const auto& [name, counts] : tally.base) {
        if (route.empty() || route == name) {
            sum += counts;
        }
    }
    return sum;
}

// Whether the new version's answers in `tally` are too bad. The version in service had its answers
// in `tally` and in `all`; the worse of its two rates counts, so that a fault which has just begun
// at both versions is not put down to the new one.
bool IsBad(const VersionTally& tally, const VersionTally& all, size_t targetUpstreams) {
    for (const auto& [route, byUpstream] : TargetByRoute(tally)) {
        const AnswerCounts base = BaseOn(route, all);
        const AnswerCounts sameTime = BaseOn(route, tally);
        const double rate = sameTime.total() == 0
                                ? AllowedBadRate(base)
                                : std::max(AllowedBadRate(base), AllowedBadRate(sameTime));
        std::vector<AnswerCounts> upstreams;
        for (const auto& [upstream, counts] : byUpstream) {
            upstreams.push_back(counts);
        }
        if (IsWorse(SumWithoutWorst(std::move(upstreams), targetUpstreams), rate)) {
            return true;
        }
    }
    return false;
}

uint32_t Less(uint32_t from, uint32_t part) {
    return from - std::min(from, part);
}

AnswerCounts Difference(const AnswerCounts& from, const AnswerCounts& part) {
    return {Less(from.good, part.good), Less(from.bad, part.bad)};
}

template <class Map>
Map Differences(const Map& from, const Map& parts) {
    Map result;
    for (const auto& [key, counts] : from) {
        const auto it = parts.find(key);
        result[key] = it == parts.end() ? counts : Difference(counts, it->second);
    }
    return result;
}

template <class Map>
AnswerCounts Sum(const Map& counts) {
    AnswerCounts sum;
    for (const auto& [key, value] : counts) {
        sum += value;
    }
    return sum;
}

}  // namespace

AnswerCounts& AnswerCounts::operator+=(const AnswerCounts& other) {
    good += other.good;
    bad += other.bad;
    return *this;
}

void VersionTally::add(const VersionTally& other) {
    for (const auto& [key, counts] : other.target) {
        target[key] += counts;
    }
    for (const auto& [route, counts] : other.base) {
        base[route] += counts;
    }
}

VersionTally VersionTally::since(const VersionTally& earlier) const {
    return {Differences(target, earlier.target), Differences(base, earlier.base)};
}

AnswerCounts VersionTally::targetSum() const {
    return Sum(target);
}

AnswerCounts VersionTally::baseSum() const {
    return Sum(base);
}

VersionVerdict CompareVersions(const VersionTally& tally, const VersionTally& recent,
                               size_t targetUpstreams) {
    if (IsBad(tally, tally, targetUpstreams) || IsBad(recent, tally, targetUpstreams)) {
        return VersionVerdict::kBad;
    }
    const double enough =
        std::clamp(kMinAnswerShare * tally.baseSum().total(), kMinAnswers, kEnoughAnswers);
    return tally.targetSum().total() >= enough ? VersionVerdict::kGood : VersionVerdict::kUndecided;
}

}  // namespace onyx
