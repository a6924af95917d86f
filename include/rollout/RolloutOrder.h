// Module rollout: moves a service's requests to upstreams of another software version, and back if
// that version is bad. Decisions only: no socket, clock or thread. Depends on base, routing and
// relay.
//
// The order of the operators to roll out a version, and the status that the boxes write for it.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// How a rollout ended, or that it has not.
enum class RolloutState : uint8_t {
    kInProgress,
    kCompleted,   // The operators stop the upstreams of all other versions at once.
    kRolledBack,  // The operators drain the upstreams of the target version.
};

// Returns the state's name in logs and metrics. Thread safety: any thread.
std::string_view RolloutStateName(RolloutState state);

// The status that a box wrote for an order. It may be about an earlier target version.
struct RolloutStatus {
    RolloutState state = RolloutState::kInProgress;
    std::string targetVersion;
    friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

// An order to move a service's requests to the upstreams of `targetVersion`.
struct RolloutOrder {
    ServiceId service;
    std::string targetVersion;
    Millis duration = 0;                  // From the order to its deadline, in milliseconds.
    std::optional<RolloutStatus> status;  // The last one written; empty: none.
    uint64_t revision = 0;  // Of the order in the store; a condition for writing its status.

    // Returns the state of this order: in progress as long as no status is about its target
    // version. Preconditions: none. Thread safety: any thread.
    RolloutState state() const {
        const bool isCurrent = status && status->targetVersion == targetVersion;
        return isCurrent ? status->state : RolloutState::kInProgress;
    }
    friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

// The changes of the orders up to a revision of the store.
struct RolloutChanges {
    bool whole = false;  // `changed` lists all orders, not changes.
    uint64_t revision = 0;
    std::vector<RolloutOrder> changed;
    std::vector<std::string> removed;  // Names of services.
};

}  // namespace onyx
