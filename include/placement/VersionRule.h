// Which software versions of a service's upstreams a request may be sent to. The rule follows from
// the service's rollout, if there is one.
#pragma once

#include "include/routing/UpstreamTable.h"

#include <memory>
#include <set>
#include <string>
#include <variant>

namespace onyx {

// There is no rollout.
struct AnyVersion {};
// The new version is held back, was rolled back, or does not get this request.
struct WithoutVersions {
    std::set<std::string> versions;
};
// The request goes to the new version.
struct OnlyVersion {
    std::string version;
};
// The request goes to the new version, on the upstreams on which it is on trial.
struct OnlyUpstreams {
    std::shared_ptr<const std::set<std::string>> ids;
};
// No upstream may get it: the version that it needs is unknown or was rolled back.
struct NoVersion {};
using VersionRule =
    std::variant<AnyVersion, WithoutVersions, OnlyVersion, OnlyUpstreams, NoVersion>;

// Returns whether a request under `rule` may be sent to `upstream`. Preconditions: the ids of
// OnlyUpstreams are not null. Thread safety: any thread.
bool AllowsUpstream(const VersionRule& rule, const Upstream& upstream);

}  // namespace onyx
