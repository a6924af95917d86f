#include "include/placement/ChooseUpstream.h"

#include "include/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <vector>

namespace onyx {

namespace {

// Distance of the lowest random bound above the mean load, in requests. With a smaller one,
// requests would leave an upstream whose load is no higher than that of the others.
constexpr double kMinRandomMargin = 1.0;
// The same for a load that the upstream reported. Less of such a load is random error, and the
// larger margin makes fewer requests leave an upstream that has their prompt cached.
constexpr double kMinReportedMargin = 3.0;
// A prompt's requests are spread over a group of upstreams whose average load is at most this far
// above the mean, in requests. This is half of what the operators' limit allows above the mean if
// upstreams are nearly idle.
constexpr double kSpreadMargin = 2.0;
// Capacity counts as reduced if the service's mean load is below this fraction of the mean load of
// the upstreams in use. One in kFirstChoiceInterval requests then goes to its first choice; the
// others go to a subset of kSubsetSize upstreams that this box shares with few other boxes.
constexpr double kReducedCapacityRatio = 0.9;
constexpr uint64_t kFirstChoiceInterval = 64;
constexpr size_t kSubsetSize = 8;
// Fraction of the mean load that one prompt may add to an upstream, before spreadCandidates doubles
// the number of upstreams. The rest of the limit is left for other prompts.
constexpr double kMaxPromptLoadFraction = 0.5;
constexpr int kBoundSteps = 1024;  // Steps between the lowest random bound and the highest.

using Indices = std::vector<size_t>;

// Returns the elements of `from` for which `holds` is true, or all of them if there are none.
template <class Condition>
Indices FilterOrAll(const Indices& from, Condition holds) {
    Indices preferred;
    std::copy_if(from.begin(), from.end(), std::back_inserter(preferred), holds);
    return preferred.empty() ? from : preferred;
}

// Returns the first element of `from` with the lowest rank. Preconditions: `from` is not empty.
template <class Rank>
size_t MinBy(const Indices& from, Rank rank) {
    return *std::min_element(from.begin(), from.end(),
                             [&](size_t a, size_t b) { return rank(a) < rank(b); });
}

// Preconditions of all methods: there is at least one candidate.
class Chooser {
public:
    Chooser(std::span<const PlacementCandidate> candidates, uint64_t promptHash, uint64_t draw)
        : m_candidates(candidates), m_promptHash(promptHash), m_draw(draw) {
        Indices all(candidates.size());
        std::iota(all.begin(), all.end(), size_t{0});
        m_eligible = FilterOrAll(all, [&](size_t i) { return !m_candidates[i].tried; });
        m_usable = FilterOrAll(m_eligible, [&](size_t i) { return !m_candidates[i].ejected; });
    }

    PlacementChoice operator()(const AffinityPolicy& policy) const {
        Indices order = m_usable;
        std::sort(order.begin(), order.end(),
                  [&](size_t a, size_t b) { return affinity(a) > affinity(b); });
        const double mean = policy.meanLoad.value_or(meanLoad());
        const Bounds bounds = boundsOf(policy, mean);
        const size_t chosen = chooseInOrder(policy, order, mean, bounds);
        return {chosen, affinityReason(chosen), mean, boundAt(chosen, bounds)};
    }

    PlacementChoice operator()(const ZoneFirstPolicy&) const {
        const size_t chosen = MinBy(m_usable, [&](size_t i) {
            const PlacementCandidate& c = m_candidates[i];
            return std::make_tuple(c.load >= c.slots, !c.sameZone, workAhead(i), randomOrder(i));
        });
        const PlacementReason reason = m_candidates[chosen].sameZone ? PlacementReason::kSameZone
                                                                     : PlacementReason::kOtherZone;
        return {chosen, reason, meanLoad(), slots(chosen)};
    }

private:
    // Loads at which an upstream counts as full.
    struct Bounds {
        int estimated = 0;  // For an estimated load.
        int reported = 0;   // For a load that the upstream reported.
    };

    size_t chooseInOrder(const AffinityPolicy& policy, const Indices& order, double mean,
                         const Bounds& bounds) const {
        if (!policy.randomizeBound) {
            return firstWithRoom(order, bounds);
        }
        const size_t width = spreadWidth(policy.promptShare, order.size());
        if (isCapacityReduced(policy, mean)) {
            return m_draw % kFirstChoiceInterval == 0 ? order.front()
                                                      : leastOwnLoad(subsetForBox(policy.boxRank));
        }
        if (width == 1 && hasRoom(order.front(), bounds)) {
            return order.front();
        }
        // Prefer upstreams that hold the prompt: on any other one it has to be processed again.
        Indices holdersFirst = order;
        std::stable_partition(holdersFirst.begin() + 1, holdersFirst.end(),
                              [&](size_t i) { return m_candidates[i].holdsPrompt; });
        return lessLoadedOfTwo(FilterOrAll(spreadCandidates(holdersFirst, mean, width),
                                           [&](size_t i) { return hasRoom(i, bounds); }));
    }

    int boundAt(size_t i, const Bounds& bounds) const {
        return std::min(m_candidates[i].loadReported ? bounds.reported : bounds.estimated,
                        slots(i));
    }

    bool hasRoom(size_t i, const Bounds& bounds) const {
        return m_candidates[i].load < boundAt(i, bounds);
    }

    // For exact loads: chooses the first upstream in order that has room, so that few upstreams
    // hold a prompt. If none has room, chooses the least loaded one, whose queue is the shortest.
    size_t firstWithRoom(const Indices& order, const Bounds& bounds) const {
        const auto room =
            std::find_if(order.begin(), order.end(), [&](size_t i) { return hasRoom(i, bounds); });
        return room != order.end() ? *room : MinBy(order, [&](size_t i) { return workAhead(i); });
    }

    // Returns the number of upstreams over which a prompt with this share has to be spread so that
    // it adds kMaxPromptLoadFraction of the mean load to each; 1 for a prompt that needs no
    // spreading.
    static size_t spreadWidth(double promptShare, size_t upstreams) {
        const double width = promptShare * static_cast<double>(upstreams) / kMaxPromptLoadFraction;
        return std::clamp(static_cast<size_t>(std::ceil(width)), size_t{1}, upstreams);
    }

    // For estimated loads: returns the first upstreams in order, at least 2 * `width` of them,
    // doubling their number until their average load exceeds the mean by at most kSpreadMargin or
    // all are included. A single estimate may be far off, and all boxes would send to the upstream
    // that looks least loaded; the sum over several upstreams is much more accurate, and requests
    // spread over a group overload none of its members.
    Indices spreadCandidates(const Indices& order, double mean, size_t width) const {
        double sum = 0;
        do {
            width = std::min(2 * width, order.size());
            const auto add = [&](double total, size_t i) { return total + m_candidates[i].load; };
            sum = std::accumulate(order.begin(), at(order, width), 0.0, add);
        } while (width < order.size() && sum > (mean + kSpreadMargin) * static_cast<double>(width));
        return {order.begin(), at(order, width)};
    }

    // Returns true if the upstreams in use carry much more than the service's mean because others
    // are excluded. Old counts are of no use then: all boxes would send to the same upstreams.
    static bool isCapacityReduced(const AffinityPolicy& policy, double mean) {
        return policy.serviceMean && *policy.serviceMean < kReducedCapacityRatio * mean;
    }

    // Returns a few upstreams that this box shares with a few other boxes. Boxes of consecutive
    // ranks take consecutive subsets, so that all upstreams are shared by equally many boxes.
    Indices subsetForBox(size_t boxRank) const {
        const size_t size = std::min(kSubsetSize, m_usable.size());
        Indices subset;
        for (size_t i = 0; i < size; ++i) {
            subset.push_back(m_usable[(boxRank * size + i) % m_usable.size()]);
        }
        return subset;
    }

    // Returns the upstream with the fewest requests from this box, a number that is exact.
    // Preconditions: `from` is not empty.
    size_t leastOwnLoad(const Indices& from) const {
        return MinBy(from, [&](size_t i) {
            return std::make_pair(m_candidates[i].ownLoad, randomOrder(i));
        });
    }

    // Returns the less loaded of two elements chosen at random. Preconditions: `from` is not empty.
    size_t lessLoadedOfTwo(Indices from) const {
        const size_t sampleSize = std::min<size_t>(2, from.size());
        std::partial_sort(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(sampleSize),
                          from.end(),
                          [&](size_t a, size_t b) { return randomOrder(a) < randomOrder(b); });
        from.resize(sampleSize);
        return MinBy(from, [&](size_t i) { return workAhead(i); });
    }

    static Indices::const_iterator at(const Indices& order, size_t width) {
        return order.begin() + static_cast<std::ptrdiff_t>(width);
    }

    double meanLoad() const {
        const auto add = [&](int sum, size_t i) { return sum + m_candidates[i].load; };
        const int sum = std::accumulate(m_usable.begin(), m_usable.end(), 0, add);
        return static_cast<double>(sum) / static_cast<double>(m_usable.size());
    }

    Bounds boundsOf(const AffinityPolicy& policy, double mean) const {
        const double limiting = std::min(mean, policy.serviceMean.value_or(mean));
        const double highest = policy.multiple * limiting + policy.margin;
        if (!policy.randomizeBound) {
            const int fixedBound = static_cast<int>(std::ceil(highest));
            return {fixedBound, fixedBound};
        }
        return {randomBound(mean + kMinRandomMargin, highest),
                randomBound(mean + kMinReportedMargin, highest)};
    }

    int randomBound(double lowest, double highest) const {
        const double from = std::min(lowest, highest);
        const double part = static_cast<double>(m_draw % kBoundSteps) / kBoundSteps;
        return static_cast<int>(std::ceil(from + part * (highest - from)));
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
    // The work of a new request at an upstream and of those before it, in hundredths of a request.
    int64_t workAhead(size_t i) const {
        const PlacementCandidate& c = m_candidates[i];
        return (int64_t{c.load} + 1) * c.workTimePercent;
    }
    int slots(size_t i) const { return std::max(1, m_candidates[i].slots); }

    std::span<const PlacementCandidate> m_candidates;
    Indices m_eligible;  // Not tried by this request; all if there are none.
    Indices m_usable;    // Eligible and not ejected; all eligible if there are none.
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
