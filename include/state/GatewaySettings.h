// Settings of onyx-gateway, read from its TOML file. The rules own the meaning of theirs; here
// stand the keys and the defaults.
#pragma once

#include "include/admission/Admission.h"
#include "include/admission/LocalRetryBudget.h"
#include "include/admission/MachineShares.h"
#include "include/config/Settings.h"
#include "include/freshness/StoreCallPolicy.h"
#include "include/freshness/StorePacing.h"
#include "include/freshness/WatcherSelector.h"
#include "include/health/UpstreamHealth.h"
#include "include/lifecycle/Drain.h"
#include "include/placement/ChooseUpstream.h"
#include "include/placement/ColdShare.h"

#include <map>
#include <string>
#include <vector>

namespace onyx {

// What the operators demand of rollouts.
struct RolloutSettings {
    // Bound on the share of requests that a new version gets while it is on trial, 0 to 1; 0: there
    // are no rollouts here.
    double exposureLimit = 0;
    // A version that was found bad gets no requests after this, in milliseconds.
    Millis bound = 5000;
};

// All times in milliseconds.
struct GatewaySettings {
    std::string box;
    std::string zone;
    std::map<std::string, std::string> regions;  // Of availability zones, by zone.
    Endpoint callers;                            // HTTP for callers.
    Endpoint readiness;                          // HTTP for the balancer's question.
    Endpoint peers;                              // Frames for other boxes.
    Endpoint metrics;                            // HTTP for /metrics.
    Endpoint store;                              // The object store.
    std::vector<Endpoint> seeds;                 // Boxes to meet the others through.
    int64_t digestBudget = 4000;  // Bytes a second for what this box announces to the others.
    std::string logLevel = "info";

    AdmissionRules admission;
    bool admitByRoom = true;  // Requests are refused for want of room; see RoomGate.
    StorePacingSettings pacing;
    double storeWrites = 400;    // Writing calls that the store takes of all boxes in a second.
    Millis storeTimeout = 1500;  // For a store's answer, beyond the time that it may be held.
    WatcherSelectorSettings watcherSelector;
    StoreCallSettings storeCall;
    // An evacuated zone gets no requests after this; 0: no zone is ever evacuated here.
    Millis evacuationBound = 0;

    Millis connectTimeout = 300;    // To an upstream; see ConnectionBounds.
    Millis stallTimeout = 1500;     // Longest silence of a stream that can go on elsewhere.
    Millis idleConnection = 10000;  // A kept connection to an upstream is closed after this,
    Millis onceConnection = 2000;   // and carries no unrepeatable request after this, since it may
                                    // have ended without a word.
    RolloutSettings rollout;
    ColdLimit cold;  // Of upstreams that are cold; what one bears stands in the configuration.
    LocalRetryBudgetSettings retry;
    HealthSettings health;
    PlacementPolicy modelPlacement = AffinityPolicy{};
    PlacementPolicy plainPlacement = ZoneFirstPolicy{};
    DrainSettings drain;
    MachineLimits machine;

    // Reads all keys. Problems stay with the reader. Preconditions: none.
    static GatewaySettings Read(SettingsReader& reader);
};

}  // namespace onyx
