#include "include/placement/PromptAffinity.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace onyx {

namespace {

constexpr double kLeastMargin = 1.0;  // Over the mean, of the lowest bound that is drawn.
constexpr int kParts = 1024;          // Steps between the lowest bound and the highest.

int LoadOf(const PlacementCandidate& candidate) {
    return std::max(candidate.ownInFlight, candidate.totalLoad);
}

// The candidates that count: those not ejected, or all if there are no others.
std::vector<int> Usable(std::span<const PlacementCandidate> candidates) {
    std::vector<int> all(candidates.size());
    std::iota(all.begin(), all.end(), 0);
    std::vector<int> sound;
    std::copy_if(all.begin(), all.end(), std::back_inserter(sound),
                 [&](int i) { return !candidates[i].ejected; });
    return sound.empty() ? all : sound;
}

template <class Rank>
int Least(const std::vector<int>& usable, Rank rank) {
    const auto it = std::min_element(usable.begin(), usable.end(),
                                     [&](int a, int b) { return rank(a) < rank(b); });
    return it == usable.end() ? -1 : *it;
}

class Chooser {
public:
    Chooser(std::span<const PlacementCandidate> candidates, uint64_t key, uint64_t point)
        : m_candidates(candidates), m_usable(Usable(candidates)), m_key(key), m_point(point) {}

    int operator()(const AffinityPolicy& policy) const {
        std::vector<int> order = m_usable;
        std::sort(order.begin(), order.end(), [&](int a, int b) { return score(a) > score(b); });
        double sum = 0;
        for (const int i : order) {
            sum += LoadOf(m_candidates[i]);
        }
        const double mean = order.empty() ? 0 : sum / static_cast<double>(order.size());
        const int bound = boundFor(policy, mean);
        for (const int i : order) {
            if (LoadOf(m_candidates[i]) < std::min(bound, slots(i))) {
                return i;
            }
        }
        const int least = Least(order, [&](int i) { return LoadOf(m_candidates[i]); });
        return least;
    }

    int operator()(const ZoneFirstPolicy&) const {
        return Least(m_usable, [&](int i) {
            const PlacementCandidate& c = m_candidates[i];
            const bool full = LoadOf(c) >= c.slots;
            return std::make_tuple(full, !c.sameZone, LoadOf(c), anyOrder(i));
        });
    }

    int operator()(const LeastInFlightPolicy&) const {
        return Least(m_usable, [&](int i) {
            return std::make_tuple(m_candidates[i].ownInFlight, anyOrder(i));
        });
    }

    int operator()(const RandomPolicy&) const {
        return Least(m_usable, [&](int i) { return anyOrder(i); });
    }

private:
    int boundFor(const AffinityPolicy& policy, double mean) const {
        const double most = policy.multiple * mean + policy.margin;
        if (!policy.drawsBound) {
            return static_cast<int>(std::ceil(most));
        }
        const double least = std::min(most, mean + kLeastMargin);
        const double part = static_cast<double>(m_point % kParts) / kParts;
        return static_cast<int>(std::ceil(least + part * (most - least)));
    }

    uint64_t score(int i) const { return RendezvousScore(m_key, m_candidates[i].id); }
    uint64_t anyOrder(int i) const { return RendezvousScore(m_point, m_candidates[i].id); }
    int slots(int i) const { return std::max(1, m_candidates[i].slots); }

    std::span<const PlacementCandidate> m_candidates;
    std::vector<int> m_usable;
    uint64_t m_key;
    uint64_t m_point;
};

}  // namespace

std::string_view PlacementReasonName(PlacementReason reason) {
    switch (reason) {
        case PlacementReason::kPreferred:
            return "preferred";
        case PlacementReason::kOverflow:
            return "overflow";
        case PlacementReason::kPreferredEjected:
            return "preferred-ejected";
        case PlacementReason::kSameZone:
            return "same-zone";
        case PlacementReason::kOtherZone:
            return "other-zone";
        case PlacementReason::kLoad:
            return "load";
    }
    return "invalid";
}

PlacementReason ExplainPlacement(const PlacementPolicy& policy,
                                 std::span<const PlacementCandidate> candidates, uint64_t key,
                                 int chosen) {
    if (std::holds_alternative<ZoneFirstPolicy>(policy)) {
        return candidates[chosen].sameZone ? PlacementReason::kSameZone
                                           : PlacementReason::kOtherZone;
    }
    if (!std::holds_alternative<AffinityPolicy>(policy)) {
        return PlacementReason::kLoad;
    }
    const auto score = [key](const PlacementCandidate& candidate) {
        return RendezvousScore(key, candidate.id);
    };
    const auto preferred =
        std::max_element(candidates.begin(), candidates.end(),
                         [&](const auto& a, const auto& b) { return score(a) < score(b); });
    if (preferred->id == candidates[chosen].id) {
        return PlacementReason::kPreferred;
    }
    return preferred->ejected ? PlacementReason::kPreferredEjected : PlacementReason::kOverflow;
}

int ChooseUpstream(const PlacementPolicy& policy, std::span<const PlacementCandidate> candidates,
                   uint64_t key, uint64_t point) {
    return std::visit(Chooser(candidates, key, point), policy);
}

}  // namespace onyx
