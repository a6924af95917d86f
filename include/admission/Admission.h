// Decides whether a request is admitted, and if so for which route, service and team and with which
// deadline, or why it is refused.
//
// Inputs: the head of the request; the current configuration and its age in milliseconds; whether
// this box has received an upstream list; whether this box still accepts requests. The decision is
// made when a request arrives and again before each further attempt, so that no attempt is sent
// under a configuration that is no longer in force. Only new requests depend on whether the box
// still accepts requests: what it has taken, it serves. A stopping box takes no request that it
// might have to cut and that may not be repeated: its caller can still go elsewhere now.
//
// A box answers that a route or a credential does not exist only if its configuration proves it
// (MayDeny), and otherwise with 503: callers do not retry after 404 and 401. A box that lacks
// configuration or upstreams, or whose configuration is too old by the StalenessPolicy, refuses
// with 503 too. Routes that need no credential are served with a configuration of any age.
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
    Millis freshLimit = 3600;  // A configuration up to this age in ms is fresh; see FreshLimit().
    // Up to this age in ms a configuration proves what does not exist; see DenialLimit().
    Millis denialLimit = 1600;
};

// The state of a box that admission depends on.
struct AdmissionState {
    bool refusing = false;                   // This box takes no new requests: it shuts down.
    std::shared_ptr<const Catalog> catalog;  // Null until there is a configuration.
    std::optional<Millis> catalogAge;        // In milliseconds; nullopt until there is one.
    bool upstreamsListed = false;            // An upstream list has been received.
    bool superseded = false;  // There is a newer configuration, which this box does not have.
    std::optional<MonoTime> answersUntil;  // A stopping box completes its answers by then.
};

// The parts of a request that admission depends on.
struct AdmissionRequest {
    std::string_view host;
    std::string_view target;
    std::string_view credential;          // Identifies the team; empty if there is none.
    std::optional<Millis> clientTimeout;  // How long the caller waits, in ms.
    MonoTime arrived;
    uint64_t randomValue = 0;  // Random number that picks one of the route's weighted services.
    std::string_view service;  // The one that began the request's stream; empty: any of them.
    bool taken = false;        // This box has admitted it before; not a new request.
};

// The route, service and team of an admitted request, all from one catalog. `route`, `spec` and
// `teamAllowedRegions` point into the catalog, so they may only be replaced together with it.
struct Admission {
    std::shared_ptr<const Catalog> catalog;
    const Route* route = nullptr;
    ServiceId service;
    const ServiceSpec* spec = nullptr;  // Of the service; null if not in the catalog.
    TeamId team;
    // Null: the team has none.
    const AllowedRegions* teamAllowedRegions = nullptr;
    int priority = 5;    // 0 is the most urgent.
    bool stale = false;  // The catalog is older than the fresh limit.
    MonoTime deadline;   // The earlier of the caller's deadline and the route's timeout.
};

// Admits or refuses a request. Preconditions: none. Thread safety: any thread.
std::variant<Admission, Refusal> Admit(const AdmissionRules& rules, const AdmissionState& state,
                                       const AdmissionRequest& request);

// Returns whether the configuration proves that a route or a credential that it lacks does not
// exist: it is fresh, not older than the denial limit, and the box knows of no newer one.
// Preconditions: none. Thread safety: any thread.
bool MayDeny(const AdmissionRules& rules, const AdmissionState& state);

// Returns whether an admitted request may still be sent with a configuration of age `catalogAge`,
// in milliseconds: the configuration may have become too old while the connection was opened.
// Preconditions: none. Thread safety: any thread.
bool MaySend(const AdmissionRules& rules, const Route& route, std::optional<Millis> catalogAge);

// Returns whether a box in this state admits requests that need a credential, and so may report
// itself ready. Preconditions: none. Thread safety: any thread.
bool CanAdmit(const AdmissionRules& rules, const AdmissionState& state);

}  // namespace onyx
