#include "include/gateway/PlaceAttempt.h"

#include "include/base/Hash.h"

#include <algorithm>

namespace onyx {

namespace {

std::vector<PlacementCandidate> CandidatesOf(std::span<const Upstream* const> takingWork,
                                             std::string_view ownZone,
                                             const UpstreamRecords& records,
                                             const PlacementQuestion& question, MonoTime now) {
    std::vector<uint32_t> holders;
    if (!question.sharedParts.empty()) {
        holders = records.caches().holders(question.sharedParts.back(), now);
    }
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(takingWork.size());
    for (const Upstream* upstream : takingWork) {
        PlacementCandidate candidate;
        candidate.id = upstream->id;
        candidate.sameZone = upstream->zone.value == ownZone;
        candidate.tried = question.tried.contains(upstream->id);
        candidate.ejected = records.isEjected(upstream->id, now);
        candidate.holdsPrompt =
            std::find(holders.begin(), holders.end(), ShortHash(upstream->id)) != holders.end();
        const KnownLoad load = records.load(upstream->id, now);
        candidate.load = load.requests;
        candidate.loadReported = load.reported;
        candidate.slots = upstream->slots;
        candidates.push_back(candidate);
    }
    return candidates;
}

PlacementPolicy PolicyFor(const GatewaySettings& settings, const UpstreamRecords& records,
                          const PlacementQuestion& question, MonoTime now) {
    const bool model = question.spec != nullptr && question.spec->model;
    PlacementPolicy policy = model ? settings.modelPlacement : settings.plainPlacement;
    auto* affinity = std::get_if<AffinityPolicy>(&policy);
    if (affinity != nullptr && records.loadsAreSampled()) {
        affinity->drawsBound = true;
        affinity->promptShare = records.promptShare(question.sharedParts, now);
    }
    return policy;
}

// The upstream from which `chosen` can fetch the prompt's shared parts, if there is one.
std::optional<FetchSource> FetchSourceFor(const UpstreamList& upstreams,
                                          const UpstreamRecords& records,
                                          const PlacementQuestion& question, const Upstream& chosen,
                                          MonoTime now) {
    std::vector<CacheCandidate> candidates;
    std::vector<const Upstream*> holders;
    for (const auto& [id, entry] : upstreams.table().all()) {
        if (entry.upstream.service != question.service) {
            continue;
        }
        const bool settled = now - entry.since >= CacheDirectory::kSettledAfter;
        candidates.push_back({id, !records.isEjected(id, now), settled});
        holders.push_back(&entry.upstream);
    }
    const auto source = records.caches().source(question.sharedParts, chosen.id, candidates, now);
    if (!source) {
        return std::nullopt;
    }
    return FetchSource{*holders[source->index], source->reason};
}

}  // namespace

std::optional<AttemptPlace> PlaceAttempt(const GatewaySettings& settings,
                                         const UpstreamList& upstreams,
                                         const UpstreamRecords& records,
                                         const PlacementQuestion& question, MonoTime now) {
    const auto takingWork = upstreams.table().takingWork(question.service);
    const auto candidates = CandidatesOf(takingWork, settings.zone, records, question, now);
    const PlacementPolicy policy = PolicyFor(settings, records, question, now);
    const uint64_t promptHash =
        question.sharedParts.empty() ? question.draw : HashText(question.sharedParts.back());
    const auto chosen = ChooseUpstream(policy, candidates, promptHash, question.draw);
    if (!chosen) {
        return std::nullopt;
    }
    const PlacementCandidate& candidate = candidates[chosen->index];
    const LoadsAtChoice loads{candidate.load,
                              candidate.loadReported,
                              records.reportAge(takingWork[chosen->index]->id, now),
                              chosen->meanLoad,
                              chosen->bound,
                              records.boxesHeard()};
    AttemptPlace place{*takingWork[chosen->index], chosen->reason, loads, std::nullopt};
    if (question.spec != nullptr && question.spec->fetchesCache) {
        place.source = FetchSourceFor(upstreams, records, question, place.upstream, now);
    }
    return place;
}

}  // namespace onyx
