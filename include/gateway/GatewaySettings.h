// Settings of onyx-gateway, read from its TOML file.
#pragma once

#include "include/admission/RetryAllowance.h"
#include "include/config/Settings.h"
#include "include/freshness/StalenessPolicy.h"
#include "include/freshness/WatchDelegation.h"
#include "include/health/UpstreamHealth.h"
#include "include/placement/PromptAffinity.h"

#include <string>
#include <vector>

namespace onyx {

// All times in milliseconds.
struct GatewaySettings {
    std::string box;
    std::string zone;
    Endpoint callers;             // HTTP for callers.
    Endpoint readiness;           // HTTP for the balancer's question.
    Endpoint peers;               // Frames for other boxes.
    Endpoint metrics;             // HTTP for /metrics.
    Endpoint store;               // The object store.
    std::vector<Endpoint> seeds;  // Boxes to meet the others through.
    int64_t digestBudget = 4000;  // Bytes a second for what this box tells the others.
    std::string logLevel = "info";

    Millis keyKnowledge = 3600;                 // A configuration of at most this age is fresh.
    StalenessPolicy staleness = RefuseStale{};  // What passes on one that is not.
    Millis watchWait = 2000;                    // How long a watch for the configuration is held.
    Millis upstreamWatchWait = 4000;            // The same for the list of upstreams.
    Millis restPerBox = 8;          // After news of upstreams, before the next watch: this for
    Millis mostUpstreamRest = 500;  // each box of the site, and at most this.
    Millis storeTimeout = 1500;     // For a store's answer, beyond the time that it may be held.
    WatchDelegationSettings delegation;
    Millis followPeriod = 333;  // A follower asks its watcher this often.
    Millis listRest = 333;      // After a list, before the first watch, of a box that may follow.
    Millis followedRest = 125;  // After news of upstreams, of a box that others follow.
    Millis followedWait = 500;  // How long a watch is held by a box that others follow.

    Millis connectTimeout = 300;    // To an upstream.
    Millis stallTimeout = 1500;     // Longest silence of a stream that can go on elsewhere.
    Millis idleConnection = 10000;  // A kept connection to an upstream is closed after this,
    Millis onceConnection = 2000;   // and carries no unrepeatable request after this.
    RetryAllowanceSettings retry;
    size_t leastBoxes = 8;  // Boxes that share the retry slack, however few this one knows.
    HealthSettings health;
    PlacementPolicy modelPlacement = AffinityPolicy{};
    PlacementPolicy plainPlacement = ZoneFirstPolicy{};

    Millis drainAccept = 2500;  // After a stop signal: new requests are still taken this long.
    Millis drainLimit = 7500;   // After a stop signal: the process ends at the latest.

    // Reads all keys. Problems stay with the reader. Preconditions: none.
    static GatewaySettings Read(SettingsReader& reader);
};

}  // namespace onyx
