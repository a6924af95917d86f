#include "include/gateway/UpstreamChoice.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

PlacementCandidate CandidateOf(const GatewayState& state, const Upstream& upstream,
                               const std::set<std::string>& tried, MonoTime now) {
    PlacementCandidate candidate;
    candidate.id = upstream.id;
    candidate.sameZone = upstream.zone.value == state.settings.zone;
    candidate.tried = tried.contains(upstream.id);
    candidate.ejected = state.health.isEjected(upstream.id, now);
    candidate.load = std::max(state.loads.total(upstream.id, now),
                              state.loads.own(upstream.id) + state.peerCounts.at(upstream.id));
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
std::optional<FetchSource> FetchSourceFor(const GatewayState& state, const ServiceId& service,
                                          const Upstream& chosen,
                                          std::span<const std::string> sharedParts, MonoTime now) {
    std::vector<CacheCandidate> candidates;
    std::vector<const Upstream*> upstreams;
    for (const auto& [id, entry] : state.upstreams.all()) {
        if (entry.upstream.service != service) {
            continue;
        }
        const bool settled = now - entry.since >= CacheDirectory::kSettledAfter;
        candidates.push_back({id, !state.health.isEjected(id, now), settled});
        upstreams.push_back(&entry.upstream);
    }
    const auto source = state.caches.source(sharedParts, chosen.id, candidates, now);
    if (!source) {
        return std::nullopt;
    }
    return FetchSource{*upstreams[source->index], source->reason};
}

}  // namespace

std::optional<UpstreamChoice> ChooseNextUpstream(const GatewayState& state,
                                                 const Admission& admission,
                                                 const UpstreamQuestion& question, MonoTime now) {
    const auto upstreams = state.upstreams.takingWork(admission.service);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(upstreams.size());
    for (const Upstream* upstream : upstreams) {
        candidates.push_back(CandidateOf(state, *upstream, question.tried, now));
    }
    const bool model = admission.spec != nullptr && admission.spec->model;
    const uint64_t promptHash =
        question.sharedParts.empty() ? question.draw : HashText(question.sharedParts.back());
    const auto chosen =
        ChooseUpstream(PolicyFor(state, model), candidates, promptHash, question.draw);
    if (!chosen) {
        return std::nullopt;
    }
    UpstreamChoice choice{*upstreams[chosen->index], chosen->reason, std::nullopt};
    if (admission.spec != nullptr && admission.spec->fetchesCache) {
        choice.source =
            FetchSourceFor(state, admission.service, choice.upstream, question.sharedParts, now);
    }
    return choice;
}

}  // namespace onyx
