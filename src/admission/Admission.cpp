#include "include/admission/Admission.h"

#include <algorithm>

namespace onyx {

namespace {

Staleness Judge(const AdmissionRules& rules, std::optional<Millis> catalogAge) {
    return ClassifyStaleness(rules.staleness, rules.freshLimit, catalogAge);
}

// Finds the team of the request's credential, and its priority; or why there is none.
std::optional<RefusalReason> FindTeam(std::string_view name, Admission& admission) {
    admission.priority = admission.route->priority;
    if (!admission.catalog->hasTeams() || admission.route->open) {
        return std::nullopt;
    }
    const Credential* credential = admission.catalog->findCredential(name);
    if (credential == nullptr) {
        return admission.stale ? RefusalReason::kCredentialUnknownYet
                               : RefusalReason::kUnknownCredential;
    }
    admission.team = credential->team;
    admission.teamHomes = &credential->homes;
    admission.priority = credential->priority.value_or(admission.priority);
    return std::nullopt;
}

}  // namespace

std::variant<Admission, Refusal> Admit(const AdmissionRules& rules,
                                       const AdmissionKnowledge& knowledge,
                                       const AdmissionRequest& request) {
    if (knowledge.refusing) {
        return MakeRefusal(RefusalReason::kDraining);
    }
    if (!knowledge.catalog || !knowledge.upstreamsListed) {
        return MakeRefusal(RefusalReason::kNoConfiguration);
    }
    Admission admission;
    admission.catalog = knowledge.catalog;
    admission.route = admission.catalog->findRoute(request.host, request.target);
    const Route* route = admission.route;
    const Staleness staleness = Judge(rules, knowledge.catalogAge);
    if (staleness == Staleness::kUnusable && (route == nullptr || !route->open)) {
        return MakeRefusal(RefusalReason::kConfigurationTooOld);
    }
    admission.stale = staleness != Staleness::kFresh;
    if (route == nullptr) {
        return MakeRefusal(admission.stale ? RefusalReason::kRouteUnknownYet
                                           : RefusalReason::kNoRoute);
    }
    if (const auto reason = FindTeam(request.credential, admission)) {
        return MakeRefusal(*reason);
    }
    admission.service = PickService(*route, request.draw);
    admission.spec = admission.catalog->findService(admission.service);
    const Millis clientTimeout = request.clientTimeout.value_or(route->timeout);
    admission.deadline = request.arrived + std::min(clientTimeout, route->timeout);
    return admission;
}

bool MaySend(const AdmissionRules& rules, const Route& route, std::optional<Millis> catalogAge) {
    return route.open || Judge(rules, catalogAge) != Staleness::kUnusable;
}

bool KnowsEnough(const AdmissionRules& rules, const AdmissionKnowledge& knowledge) {
    return knowledge.catalog && knowledge.upstreamsListed &&
           Judge(rules, knowledge.catalogAge) != Staleness::kUnusable;
}

}  // namespace onyx
