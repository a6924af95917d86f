#include "include/gateway/UpstreamChoice.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

// The upstreams that take work: those not tried, or all if all were.
std::vector<const Upstream*> EligibleUpstreams(const GatewayState& state, const ServiceId& service,
                                               const std::set<std::string>& tried) {
    const std::vector<const Upstream*> all = state.upstreams.takingWork(service);
    std::vector<const Upstream*> untried;
    std::copy_if(all.begin(), all.end(), std::back_inserter(untried),
                 [&](const Upstream* upstream) { return !tried.contains(upstream->id); });
    return untried.empty() ? all : untried;
}

PlacementCandidate CandidateOf(const GatewayState& state, const Upstream& upstream, MonoTime now) {
    PlacementCandidate candidate;
    candidate.id = upstream.id;
    candidate.sameZone = upstream.zone.value == state.settings.zone;
    candidate.ejected = state.health.isEjected(upstream.id, now);
    candidate.ownInFlight = state.loads.own(upstream.id);
    candidate.totalLoad = std::max(state.loads.total(upstream.id, now),
                                   candidate.ownInFlight + state.peerCounts.at(upstream.id));
    candidate.slots = upstream.slots;
    return candidate;
}

PlacementPolicy PolicyFor(const GatewayState& state, bool model) {
    PlacementPolicy policy = model ? state.settings.modelPlacement : state.settings.plainPlacement;
    if (auto* affinity = std::get_if<AffinityPolicy>(&policy)) {
        affinity->drawsBound = state.peerCounts.isSample();
    }
    return policy;
}

// The upstream from which `chosen` can fetch the prompt's shared parts, if there is one.
std::optional<Upstream> CacheSourceFor(const GatewayState& state, const ServiceId& service,
                                       const Upstream& chosen,
                                       std::span<const std::string> sharedParts, MonoTime now) {
    std::vector<CacheCandidate> candidates;
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : state.upstreams.all()) {
        if (entry.upstream.service != service) {
            continue;
        }
        const bool settled = now - entry.since >= GatewayState::kSettled;
        candidates.push_back({id, !state.health.isEjected(id, now), settled});
        upstreams.push_back(&entry.upstream);
    }
    const int source = state.caches.source(sharedParts, chosen.id, candidates, now);
    return source < 0 ? std::nullopt : std::optional<Upstream>(*upstreams[source]);
}

}  // namespace

std::optional<UpstreamChoice> ChooseNextUpstream(const GatewayState& state,
                                                 const RouteDecision& decision,
                                                 const UpstreamQuestion& question, MonoTime now) {
    const auto eligible = EligibleUpstreams(state, decision.service, question.tried);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(eligible.size());
    for (const Upstream* upstream : eligible) {
        candidates.push_back(CandidateOf(state, *upstream, now));
    }
    const bool model = decision.spec != nullptr && decision.spec->model;
    const uint64_t key =
        question.sharedParts.empty() ? question.point : HashText(question.sharedParts.back());
    const PlacementPolicy policy = PolicyFor(state, model);
    const int chosen = ChooseUpstream(policy, candidates, key, question.point);
    if (chosen < 0) {
        return std::nullopt;
    }
    UpstreamChoice choice{*eligible[chosen], std::nullopt,
                          ExplainPlacement(policy, candidates, key, chosen)};
    if (decision.spec != nullptr && decision.spec->fetchesCache) {
        choice.cacheSource =
            CacheSourceFor(state, decision.service, choice.upstream, question.sharedParts, now);
    }
    return choice;
}

}  // namespace onyx
