#include "include/placement/ChooseUpstream.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <vector>

namespace onyx {

namespace {

// The lowest bound that a request draws lies this far over the mean load, in requests. With less,
// requests would leave an upstream that carries no more than the others.
constexpr double kMinDrawnMargin = 1.0;
constexpr int kDrawSteps = 1024;  // Between the lowest bound and the highest.

using Indices = std::vector<size_t>;

// Those of `from` for which `holds` is true, or all of them if it is true for none.
template <class Condition>
Indices Preferred(const Indices& from, Condition holds) {
    Indices preferred;
    std::copy_if(from.begin(), from.end(), std::back_inserter(preferred), holds);
    return preferred.empty() ? from : preferred;
}

// The first of `from` with the lowest rank. Preconditions: `from` is not empty.
template <class Rank>
size_t Lowest(const Indices& from, Rank rank) {
    return *std::min_element(from.begin(), from.end(),
                             [&](size_t a, size_t b) { return rank(a) < rank(b); });
}

// Preconditions of the calls: there is a candidate.
class Chooser {
public:
    Chooser(std::span<const PlacementCandidate> candidates, uint64_t promptHash, uint64_t draw)
        : m_candidates(candidates), m_promptHash(promptHash), m_draw(draw) {
        Indices all(candidates.size());
        std::iota(all.begin(), all.end(), size_t{0});
        m_eligible = Preferred(all, [&](size_t i) { return !m_candidates[i].tried; });
        m_usable = Preferred(m_eligible, [&](size_t i) { return !m_candidates[i].ejected; });
    }

    PlacementChoice operator()(const AffinityPolicy& policy) const {
        Indices order = m_usable;
        std::sort(order.begin(), order.end(),
                  [&](size_t a, size_t b) { return affinity(a) > affinity(b); });
        const double mean = meanLoad();
        const int bound = boundOf(policy, mean);
        const auto room = std::find_if(order.begin(), order.end(), [&](size_t i) {
            return m_candidates[i].load < std::min(bound, slots(i));
        });
        // Where no upstream has room, the least loaded one queues it soonest.
        const size_t chosen = room != order.end()
                                  ? *room
                                  : Lowest(order, [&](size_t i) { return m_candidates[i].load; });
        return {chosen, affinityReason(chosen), mean, std::min(bound, slots(chosen))};
    }

    PlacementChoice operator()(const ZoneFirstPolicy&) const {
        const size_t chosen = Lowest(m_usable, [&](size_t i) {
            const PlacementCandidate& c = m_candidates[i];
            return std::make_tuple(c.load >= c.slots, !c.sameZone, c.load, randomOrder(i));
        });
        const PlacementReason reason = m_candidates[chosen].sameZone ? PlacementReason::kSameZone
                                                                     : PlacementReason::kOtherZone;
        return {chosen, reason, meanLoad(), slots(chosen)};
    }

private:
    double meanLoad() const {
        const auto add = [&](int sum, size_t i) { return sum + m_candidates[i].load; };
        const int sum = std::accumulate(m_usable.begin(), m_usable.end(), 0, add);
        return static_cast<double>(sum) / static_cast<double>(m_usable.size());
    }

    int boundOf(const AffinityPolicy& policy, double mean) const {
        const double highest = policy.multiple * mean + policy.margin;
        if (!policy.drawsBound) {
            return static_cast<int>(std::ceil(highest));
        }
        const double lowest = std::min(highest, mean + kMinDrawnMargin);
        const double part = static_cast<double>(m_draw % kDrawSteps) / kDrawSteps;
        return static_cast<int>(std::ceil(lowest + part * (highest - lowest)));
    }

    PlacementReason affinityReason(size_t chosen) const {
        const size_t preferred =
            *std::max_element(m_eligible.begin(), m_eligible.end(),
                              [&](size_t a, size_t b) { return affinity(a) < affinity(b); });
        if (chosen == preferred) {
            return PlacementReason::kPreferred;
        }
        const bool usable =
            std::find(m_usable.begin(), m_usable.end(), preferred) != m_usable.end();
        return usable ? PlacementReason::kOverflow : PlacementReason::kPreferredEjected;
    }

    uint64_t affinity(size_t i) const { return RendezvousScore(m_promptHash, m_candidates[i].id); }
    uint64_t randomOrder(size_t i) const { return RendezvousScore(m_draw, m_candidates[i].id); }
    int slots(size_t i) const { return std::max(1, m_candidates[i].slots); }

    std::span<const PlacementCandidate> m_candidates;
    Indices m_eligible;  // Not tried by this request, or all.
    Indices m_usable;    // Of these: not ejected, or all.
    uint64_t m_promptHash;
    uint64_t m_draw;
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
    }
    return "invalid";
}

std::optional<PlacementChoice> ChooseUpstream(const PlacementPolicy& policy,
                                              std::span<const PlacementCandidate> candidates,
                                              uint64_t promptHash, uint64_t draw) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    return std::visit(Chooser(candidates, promptHash, draw), policy);
}

}  // namespace onyx
