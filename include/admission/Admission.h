// Decides whether a request is admitted: which route, service and team it is for and until when it
// is held, or why it is refused.
//
// Inputs: the request's head; the configuration in force and its age in milliseconds; whether the
// upstreams were listed once; whether this box still takes requests. Asked when a request arrives
// and again before each further attempt, so that none is sent by what is no longer in force.
//
// The rule: only a box that knows may say that a route or a credential does not exist. One that
// knows too little, or whose configuration is too old by the StalenessPolicy, refuses with 503.
// Routes that need no credential are served on a configuration of any age.
#pragma once

#include "include/admission/Refusal.h"
#include "include/freshness/StalenessPolicy.h"
#include "include/routing/Catalog.h"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace onyx {

// How old a configuration may be.
struct AdmissionRules {
    StalenessPolicy staleness = RefuseStale{};
    Millis freshLimit = 3600;  // Up to this age a configuration is fresh; see FreshLimit().
};

// What a box knows, as far as admission depends on it.
struct AdmissionState {
    bool refusing = false;                   // This box is about to end.
    std::shared_ptr<const Catalog> catalog;  // Null until one is known.
    std::optional<Millis> catalogAge;
    bool upstreamsListed = false;
};

// One request as far as admission depends on it.
struct AdmissionRequest {
    std::string_view host;
    std::string_view target;
    std::string_view credential;          // Stands for the team; empty if there is none.
    std::optional<Millis> clientTimeout;  // How long the caller waits.
    MonoTime arrived;
    uint64_t draw = 0;  // A random number: which of a route's weighted services it is for.
};

// What an admitted request is for, by one catalog. The route and the spec are parts of the catalog,
// so they are replaced only together.
struct Admission {
    std::shared_ptr<const Catalog> catalog;
    const Route* route = nullptr;
    ServiceId service;
    const ServiceSpec* spec = nullptr;  // Of the service; null if the catalog does not tell.
    TeamId team;
    const AllowedRegions* teamAllowedRegions =
        nullptr;         // Part of the catalog; null: the team has none.
    int priority = 5;    // 0 is the most urgent.
    bool stale = false;  // The catalog is older than is fresh.
    MonoTime deadline;   // The caller's, or the route's timeout if that is earlier.
};

// Admits or refuses a request. Preconditions: none. Thread safety: any thread.
std::variant<Admission, Refusal> Admit(const AdmissionRules& rules, const AdmissionState& state,
                                       const AdmissionRequest& request);

// Whether an admitted request may still be sent on a configuration of `catalogAge`: time went by
// while its connection opened. Preconditions: none. Thread safety: any thread.
bool MaySend(const AdmissionRules& rules, const Route& route, std::optional<Millis> catalogAge);

// Whether a box that knows this admits requests with a credential: it may call itself ready.
// Preconditions: none. Thread safety: any thread.
bool CanAdmit(const AdmissionRules& rules, const AdmissionState& state);

}  // namespace onyx
