#include "include/admission/Admission.h"

#include <algorithm>

namespace onyx {

namespace {

Staleness StalenessOf(const AdmissionRules& rules, std::optional<Millis> catalogAge) {
    return ClassifyStaleness(rules.staleness, rules.freshLimit, catalogAge);
}

// Sets the team of the credential `name` and the priority in `admission`, or returns the reason for
// a refusal.
std::optional<RefusalReason> FindTeam(std::string_view name, bool mayDeny, Admission& admission) {
    admission.priority = admission.route->priority;
    if (!admission.catalog->hasTeams() || admission.route->open) {
        return std::nullopt;
    }
    const Credential* credential = admission.catalog->findCredential(name);
    if (credential == nullptr) {
        return mayDeny ? RefusalReason::kUnknownCredential : RefusalReason::kCredentialUnknownYet;
    }
    admission.team = credential->team;
    admission.teamAllowedRegions = &credential->allowedRegions;
    admission.priority = credential->priority.value_or(admission.priority);
    return std::nullopt;
}

bool LeadsTo(const Route& route, std::string_view service) {
    return std::any_of(
        route.services.begin(), route.services.end(),
        [&](const WeightedService& weighted) { return weighted.service.value == service; });
}

// Whether a planned stop may cut the request's answer, and its caller could not send it again.
bool MayBeLost(const AdmissionState& state, const Admission& admission) {
    const Route& route = *admission.route;
    return !route.repeatable && !route.resumable && state.answersUntil &&
           admission.deadline > *state.answersUntil;
}

}  // namespace

std::variant<Admission, Refusal> Admit(const AdmissionRules& rules, const AdmissionState& state,
                                       const AdmissionRequest& request) {
    if (state.refusing && !request.taken) {
        return MakeRefusal(RefusalReason::kDraining);
    }
    if (!state.catalog || !state.upstreamsListed) {
        return MakeRefusal(RefusalReason::kNoConfiguration);
    }
    Admission admission;
    admission.catalog = state.catalog;
    admission.route = admission.catalog->findRoute(request.host, request.target);
    const Route* route = admission.route;
    const Staleness staleness = StalenessOf(rules, state.catalogAge);
    if (staleness == Staleness::kUnusable && (route == nullptr || !route->open)) {
        return MakeRefusal(RefusalReason::kConfigurationTooOld);
    }
    admission.stale = staleness != Staleness::kFresh;
    const bool mayDeny = MayDeny(rules, state);
    if (route == nullptr) {
        return MakeRefusal(mayDeny ? RefusalReason::kNoRoute : RefusalReason::kRouteUnknownYet);
    }
    if (const auto reason = FindTeam(request.credential, mayDeny, admission)) {
        return MakeRefusal(*reason);
    }
    const bool isFixed = !request.service.empty();
    if (isFixed && !LeadsTo(*route, request.service)) {
        return MakeRefusal(RefusalReason::kNoUpstream);
    }
    admission.service = isFixed ? ServiceId{std::string(request.service)}
                                : PickService(*route, request.randomValue);
    admission.spec = admission.catalog->findService(admission.service);
    const Millis clientTimeout = request.clientTimeout.value_or(route->timeout);
    admission.deadline = request.arrived + std::min(clientTimeout, route->timeout);
    if (!request.taken && MayBeLost(state, admission)) {
        return MakeRefusal(RefusalReason::kDraining);
    }
    return admission;
}

bool MayDeny(const AdmissionRules& rules, const AdmissionState& state) {
    return !state.superseded && StalenessOf(rules, state.catalogAge) == Staleness::kFresh &&
           *state.catalogAge <= rules.denialLimit;
}

bool MaySend(const AdmissionRules& rules, const Route& route, std::optional<Millis> catalogAge) {
    return route.open || StalenessOf(rules, catalogAge) != Staleness::kUnusable;
}

bool CanAdmit(const AdmissionRules& rules, const AdmissionState& state) {
    return state.catalog && state.upstreamsListed &&
           StalenessOf(rules, state.catalogAge) != Staleness::kUnusable;
}

}  // namespace onyx
