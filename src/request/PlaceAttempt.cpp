#include "include/request/PlaceAttempt.h"

#include "include/base/Hash.h"
#include "include/placement/LoadEstimate.h"
#include "include/state/AllowedZones.h"

#include <algorithm>
#include <cmath>

namespace onyx {

namespace {

// Upstreams that are compared for one request. In a larger service they are a part of its ring that
// starts at the prompt, so that the cost of a choice does not grow with the service.
constexpr size_t kMaxCandidates = 256;

// Where a request's candidates start on the ring of its service: at the same place for all requests
// with the same prompt, on all boxes.
uint64_t RingPosition(uint64_t promptHash) {
    constexpr uint64_t kSalt = 0;  // Spreads random numbers of fewer than 64 bits over the ring.
    return HashPair(promptHash, kSalt);
}

// How long this box sends a cold upstream nothing; nothing if it is not cold, or may be sent to
// like others.
std::optional<Millis> ColdWaitFor(const Upstream& upstream, const PlacementKnowledge& knowledge,
                                  const PlacementQuestion& question, MonoTime now) {
    const UpstreamRecords& records = knowledge.records;
    if (!records.cold().hasRecords()) {
        return std::nullopt;
    }
    const Incarnation incarnation = upstream.incarnation();
    const auto coldLeft = records.cold().coldLeft(incarnation, now);
    if (!coldLeft || question.spec == nullptr || question.spec->coldRequestsPerSecond <= 0) {
        return std::nullopt;
    }
    if (!records.coldShare().maySend(upstream.id, now)) {
        return coldLeft;
    }
    ColdLimit limit = knowledge.settings.cold;
    limit.perSecond = question.spec->coldRequestsPerSecond;
    const Millis spacing = records.coldShare().spacing(limit);
    return std::min(records.cold().waitBeforeSend(incarnation, spacing, now), *coldLeft);
}

bool IsInHomes(const Upstream& upstream, const GatewaySettings& settings,
               const PlacementQuestion& question) {
    return IsZoneAllowed(settings, {question.routeAllowedRegions, question.teamAllowedRegions},
                         upstream.zone.value);
}

// Whether a brittle upstream would have to turn a request away, as far as this box can tell.
bool IsBrittleFull(const Upstream& upstream, const UpstreamRecords& records, MonoTime now) {
    if (!records.brittle().hasRecords() || !records.brittle().isBrittle(upstream.incarnation())) {
        return false;
    }
    const UpstreamLoad known = records.load(upstream.id, now);
    const bool sampled = records.loadsAreSampled();
    const int counted = sampled ? known.counted : known.exact;
    return std::max(counted, sampled && known.report ? known.report->load : 0) >= upstream.slots;
}

ExclusionInputs StandingOf(const Upstream& upstream, const PlacementKnowledge& knowledge,
                           const PlacementQuestion& question, MonoTime now) {
    const UpstreamRecords& records = knowledge.records;
    ExclusionInputs inputs;
    inputs.draining = upstream.draining;
    if (records.avoidance().hasRecords()) {
        const Incarnation incarnation = upstream.incarnation();
        inputs.leaving = records.avoidance().isLeaving(incarnation);
        inputs.backoff = records.avoidance().remainingBackoff(incarnation, now);
    }
    inputs.regionNotAllowed = !IsInHomes(upstream, knowledge.settings, question);
    inputs.evacuated = knowledge.evacuations.orders().isEvacuated(
        upstream.zone, knowledge.upstreams.age(now), now);
    inputs.versionNotAllowed = !AllowsUpstream(question.versions, upstream);
    inputs.brittleFull = IsBrittleFull(upstream, records, now);
    inputs.coldWait = ColdWaitFor(upstream, knowledge, question, now);
    return inputs;
}

// The upstreams of a service: those that a request may be sent to, and those that are left out for
// as long as their zone or version is.
struct Eligible {
    std::vector<const Upstream*> upstreams;
    std::vector<const Upstream*> leftOutWholesale;
    ExclusionTally leftOut;
};

Eligible EligibleFor(const PlacementKnowledge& knowledge, const PlacementQuestion& question,
                     uint64_t promptHash, MonoTime now) {
    Eligible eligible;
    const auto visit = [&](const UpstreamTable::Entry& entry) {
        const auto exclusion = ExclusionOf(StandingOf(entry.upstream, knowledge, question, now));
        if (!exclusion) {
            eligible.upstreams.push_back(&entry.upstream);
            return eligible.upstreams.size() < kMaxCandidates;
        }
        eligible.leftOut.add(*exclusion);
        if (exclusion->isWholesale()) {
            eligible.leftOutWholesale.push_back(&entry.upstream);
        }
        return true;
    };
    knowledge.upstreams.table().visitRing(question.service, RingPosition(promptHash), visit);
    return eligible;
}

uint64_t PromptHashOf(const PlacementQuestion& question) {
    return question.sharedParts.empty() ? question.draw : HashText(question.sharedParts.back());
}

// What is known of the loads of a service's upstreams, in their order.
struct ServiceLoads {
    std::vector<UpstreamLoad> known;
    std::vector<int> loads;      // All boxes' requests at each, as far as this box can tell.
    std::optional<double> mean;  // Of them all, where it is known better than by `loads`.

    // Whether the load is what the upstream told lately.
    bool isReported(size_t i) const {
        return mean && known[i].report && known[i].report->age <= UpstreamLoads::kReportAge;
    }
};

// Where only some boxes announce their requests, what an upstream reported goes first: the others'
// counts are no measure of a single one.
int EstimatedLoad(const LoadEstimate& estimate, const UpstreamLoad& known) {
    const double load =
        known.report ? estimate.fromReport(*known.report) : estimate.fromCount(known.counted);
    return static_cast<int>(std::lround(load));
}

ServiceLoads LoadsOf(std::span<const Upstream* const> upstreams, const UpstreamRecords& records,
                     MonoTime now) {
    ServiceLoads service;
    std::vector<int> counted;
    for (const Upstream* upstream : upstreams) {
        const UpstreamLoad known = records.load(upstream->id, now);
        service.known.push_back(known);
        service.loads.push_back(known.exact);
        counted.push_back(known.counted);
    }
    if (!records.loadsAreSampled()) {
        return service;
    }
    const LoadEstimate estimate(counted, records.countedShare());
    service.mean = estimate.mean();
    std::transform(service.known.begin(), service.known.end(), service.loads.begin(),
                   [&](const UpstreamLoad& known) { return EstimatedLoad(estimate, known); });
    return service;
}

// Mean load of the service's upstreams where whole zones or versions are left out, which carry
// less. What leaves or warms up does so for less time than the operators take their mean over.
std::optional<double> ServiceMean(const Eligible& eligible, const UpstreamRecords& records,
                                  MonoTime now) {
    if (eligible.leftOutWholesale.empty()) {
        return std::nullopt;
    }
    std::vector<int> loads;
    for (const auto* upstreams : {&eligible.upstreams, &eligible.leftOutWholesale}) {
        for (const Upstream* upstream : *upstreams) {
            const UpstreamLoad known = records.load(upstream->id, now);
            loads.push_back(records.loadsAreSampled() ? known.counted : known.exact);
        }
    }
    const double share = records.loadsAreSampled() ? records.countedShare() : 1;
    return LoadEstimate(loads, share).mean();
}

std::vector<PlacementCandidate> CandidatesOf(std::span<const Upstream* const> acceptingUpstreams,
                                             std::string_view ownZone,
                                             const UpstreamRecords& records,
                                             const PlacementQuestion& question,
                                             const ServiceLoads& loads, MonoTime now) {
    std::vector<uint32_t> holders;
    if (!question.sharedParts.empty()) {
        holders = records.caches().holders(question.sharedParts.back(), now);
    }
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(acceptingUpstreams.size());
    for (size_t i = 0; i < acceptingUpstreams.size(); ++i) {
        const Upstream* upstream = acceptingUpstreams[i];
        PlacementCandidate candidate;
        candidate.id = upstream->id;
        candidate.sameZone = upstream->zone.value == ownZone;
        candidate.tried = question.tried.contains(upstream->id);
        candidate.ejected = records.isEjected(upstream->id, now);
        candidate.holdsPrompt =
            std::find(holders.begin(), holders.end(), ShortHash(upstream->id)) != holders.end();
        candidate.ownLoad = records.ownLoad(upstream->id);
        candidate.load = loads.loads[i];
        candidate.loadReported = loads.known[i].report.has_value();
        candidate.slots = upstream->slots;
        candidate.workTimePercent = records.workTimes().percent(upstream->id, now);
        candidates.push_back(candidate);
    }
    return candidates;
}

PlacementPolicy PolicyFor(const GatewaySettings& settings, const UpstreamRecords& records,
                          const PlacementQuestion& question, std::optional<double> meanLoad,
                          std::optional<double> serviceMean, MonoTime now) {
    const bool model = question.spec != nullptr && question.spec->model;
    PlacementPolicy policy = model ? settings.modelPlacement : settings.plainPlacement;
    auto* affinity = std::get_if<AffinityPolicy>(&policy);
    if (affinity != nullptr) {
        affinity->serviceMean = serviceMean;
        affinity->boxRank = records.boxRank();
    }
    if (affinity != nullptr && records.loadsAreSampled()) {
        affinity->randomizeBound = true;
        affinity->meanLoad = meanLoad;
        affinity->promptShare = records.promptShare(question.sharedParts, now);
    }
    return policy;
}

// The upstreams that may hold parts of a prompt: those to which its requests go, and those that are
// known to hold a part although they are elsewhere on the ring.
std::vector<const UpstreamTable::Entry*> PossibleHolders(const UpstreamTable& table,
                                                         const UpstreamRecords& records,
                                                         const PlacementQuestion& question,
                                                         MonoTime now) {
    std::vector<const UpstreamTable::Entry*> entries;
    const auto visit = [&](const UpstreamTable::Entry& entry) {
        entries.push_back(&entry);
        return entries.size() < kMaxCandidates;
    };
    table.visitRing(question.service, RingPosition(PromptHashOf(question)), visit);
    if (table.count(question.service) <= kMaxCandidates) {
        return entries;
    }
    for (const std::string& part : question.sharedParts) {
        for (const uint32_t number : records.caches().holders(part, now)) {
            const UpstreamTable::Entry* entry = table.findByNumber(number);
            const bool isNew = entry != nullptr && entry->upstream.service == question.service &&
                               std::find(entries.begin(), entries.end(), entry) == entries.end();
            if (isNew) {
                entries.push_back(entry);
            }
        }
    }
    return entries;
}

// The upstream from which `chosen` can fetch the prompt's shared parts, if there is one. Its
// version does not matter: a new version of the software mostly has the same weights, and an
// upstream that cannot use a cache reads the prompt.
std::optional<FetchSource> FetchSourceFor(const GatewaySettings& settings,
                                          const UpstreamList& upstreams,
                                          const UpstreamRecords& records,
                                          const PlacementQuestion& question, const Upstream& chosen,
                                          MonoTime now) {
    std::vector<CacheCandidate> candidates;
    std::vector<const Upstream*> holders;
    for (const UpstreamTable::Entry* entry :
         PossibleHolders(upstreams.table(), records, question, now)) {
        const Upstream& upstream = entry->upstream;
        if (IsInHomes(upstream, settings, question)) {
            const bool settled = now - entry->since >= CacheDirectory::kSettledAge;
            candidates.push_back({upstream.id, !records.isEjected(upstream.id, now), settled});
            holders.push_back(&upstream);
        }
    }
    const auto source =
        records.caches().selectSource(question.sharedParts, chosen.id, candidates, now);
    if (!source) {
        return std::nullopt;
    }
    return FetchSource{*holders[source->index], source->reason};
}

}  // namespace

std::optional<AttemptPlace> PlaceAttempt(const PlacementKnowledge& knowledge,
                                         const PlacementQuestion& question, MonoTime now) {
    const auto& [settings, upstreams, records, evacuations] = knowledge;
    const uint64_t promptHash = PromptHashOf(question);
    const Eligible eligible = EligibleFor(knowledge, question, promptHash, now);
    const std::vector<const Upstream*>& acceptingUpstreams = eligible.upstreams;
    const ServiceLoads service = LoadsOf(acceptingUpstreams, records, now);
    const auto candidates =
        CandidatesOf(acceptingUpstreams, settings.zone, records, question, service, now);
    const PlacementPolicy policy = PolicyFor(settings, records, question, service.mean,
                                             ServiceMean(eligible, records, now), now);
    const auto chosen = ChooseUpstream(policy, candidates, promptHash, question.draw);
    if (!chosen) {
        return std::nullopt;
    }
    const PlacementCandidate& candidate = candidates[chosen->index];
    const LoadsAtChoice loads{candidate.load,
                              service.isReported(chosen->index),
                              records.reportAge(acceptingUpstreams[chosen->index]->id, now),
                              chosen->meanLoad,
                              chosen->bound,
                              records.peersWithLoads()};
    AttemptPlace place{*acceptingUpstreams[chosen->index],
                       chosen->reason,
                       loads,
                       std::nullopt,
                       eligible.leftOut,
                       candidate.holdsPrompt};
    const bool mayFetch = question.spec != nullptr && question.spec->fetchesCache;
    if (mayFetch && !candidate.holdsPrompt) {
        place.source = FetchSourceFor(settings, upstreams, records, question, place.upstream, now);
    }
    return place;
}

std::optional<ExclusionTally> AllLeftOut(const PlacementKnowledge& knowledge,
                                         const PlacementQuestion& question, MonoTime now) {
    const Eligible eligible = EligibleFor(knowledge, question, PromptHashOf(question), now);
    return eligible.upstreams.empty() ? std::optional<ExclusionTally>(eligible.leftOut)
                                      : std::nullopt;
}

}  // namespace onyx
