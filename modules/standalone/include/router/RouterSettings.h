// Settings of onyx-router, read from its TOML file.
#pragma once

#include "include/config/Settings.h"
#include "modules/standalone/include/placement/HomeAdmission.h"

#include <string>
#include <vector>

namespace onyx {

// All times in milliseconds.
struct RouterSettings {
    std::string box;
    std::string zone;
    std::string site;
    Endpoint callers;             // HTTP for callers.
    Endpoint peers;               // Frames for other boxes and the agent.
    Endpoint metrics;             // HTTP for /metrics, /healthz, /readyz.
    std::string advertised;       // The peers address as others reach it; default: peers.
    std::vector<Endpoint> seeds;  // Peers to try when the platform cannot be asked.
    std::string logLevel = "info";
    std::string record;  // File to record decision events in; empty: none.

    Millis digestPeriod = 250;
    int64_t digestBudget = 800;  // Bytes a second for digests; stretches the period.
    int64_t digestPeers = 16;    // Boxes that get this box's digest.
    Millis peerTimeout = 1500;
    Millis loadPollPeriod = 500;
    Millis hopTimeout = 1000;    // For a home's verdict.
    Millis stallTimeout = 2000;  // Longest silence inside a stream.
    Millis defaultDeadline = 30000;
    Millis drainLimit = 30000;
    double retryShare = 0.1;
    HomeSettings home;

    Millis leaseDuration = 6000;
    Millis leaseRenew = 2000;
    Millis driftMargin = 500;
    Millis skewLimit = 500;
    Millis ledgerHorizon = 600000;
    int64_t ledgerMost = 100000;
    int64_t rosterMost = 16;

    // Reads all keys. Problems stay with the reader. Preconditions: none.
    static RouterSettings Read(SettingsReader& reader);
};

}  // namespace onyx
