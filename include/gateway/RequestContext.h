// What the handling of requests may use. What it may only read is const; everything has its owner
// elsewhere (see Gateway).
#pragma once

#include "include/admission/Admission.h"
#include "include/admission/LocalRetryBudget.h"
#include "include/dialect/Dialect.h"
#include "include/gateway/ConfigurationState.h"
#include "include/gateway/GatewaySettings.h"
#include "include/gateway/PeerMesh.h"
#include "include/gateway/PlaceAttempt.h"
#include "include/gateway/QuarantineController.h"
#include "include/gateway/ReachMonitor.h"
#include "include/gateway/RelayController.h"
#include "include/gateway/RequestLog.h"
#include "include/gateway/RolloutController.h"
#include "include/gateway/StreamController.h"
#include "include/gateway/UpstreamList.h"
#include "include/gateway/UpstreamRecords.h"
#include "include/lifecycle/Drain.h"

#include <random>

namespace onyx {

// Not thread safe: one io_context.
struct RequestContext {
    asio::io_context& io;
    const GatewaySettings& settings;
    const Dialect& dialect;
    const ConfigurationState& configuration;
    const UpstreamList& upstreams;
    const EvacuationList& evacuations;
    UpstreamRecords& records;
    LocalRetryBudgets& retries;
    Lifecycle& lifecycle;
    const PeerMesh& mesh;
    RequestLog& log;
    QuarantineController& quarantine;
    RolloutController& rollouts;
    StreamController& streams;
    ReachMonitor& reach;
    RelayController& relays;
    std::minstd_rand random{std::random_device{}()};

    // What the placement of an attempt may read. Preconditions: none.
    PlacementKnowledge placement() const { return {settings, upstreams, records, evacuations}; }
};

// What admission depends on, as this box knows it. Preconditions: none.
// Thread safety: the context's.
inline AdmissionState KnowledgeOf(const ConfigurationState& configuration,
                                  const UpstreamList& upstreams, const Lifecycle& lifecycle,
                                  MonoTime now) {
    const auto& catalog = configuration.catalog();
    const bool isListed =
        catalog && upstreams.age(now).has_value() && upstreams.covers(catalog->services());
    return {lifecycle.refusing(), catalog, configuration.age(now), isListed,
            configuration.superseded()};
}

}  // namespace onyx
