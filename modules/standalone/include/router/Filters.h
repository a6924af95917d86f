// The filters that each request passes before it is placed. Each is a small type with apply();
// the chain is a list of variants, run in order until one answers.
#pragma once

#include "modules/standalone/include/admission/TeamLimiter.h"
#include "modules/standalone/include/router/CallContext.h"
#include "modules/standalone/include/router/Problem.h"
#include "modules/standalone/include/router/RouterContext.h"

#include <optional>
#include <span>
#include <variant>

namespace onyx {

// A box without configuration takes nothing. One that drains still does: its callers' requests
// run at other boxes' homes until the balancer has seen that it is not ready.
struct CheckReady {
    std::optional<Problem> apply(RouterContext& context, CallContext& call) const;
};
// Bearer token to team.
struct IdentifyTeam {
    std::optional<Problem> apply(RouterContext& context, CallContext& call) const;
};
// Path and body to service; chat, priority, deadline and key from the headers.
struct ReadCall {
    std::optional<Problem> apply(RouterContext& context, CallContext& call) const;
};
// A key that is the other site's by the migration steps is sent there.
struct CheckShare {
    std::optional<Problem> apply(RouterContext& context, CallContext& call) const;
};

using Filter = std::variant<CheckReady, IdentifyTeam, ReadCall, CheckShare>;

// Runs `chain` until a filter answers. Preconditions: none. Thread safety: the router's context.
std::optional<Problem> RunFilters(std::span<const Filter> chain, RouterContext& context,
                                  CallContext& call);

// The router's chain. Thread safety: any thread.
std::span<const Filter> RequestChain();

}  // namespace onyx
