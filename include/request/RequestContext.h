// What the handling of requests may use. What it may only read is const; everything has its owner
// elsewhere (see Gateway).
#pragma once

#include "include/admission/Admission.h"
#include "include/admission/LocalRetryBudget.h"
#include "include/admission/MachineShares.h"
#include "include/admission/RequestMemory.h"
#include "include/dialect/Dialect.h"
#include "include/lifecycle/Drain.h"
#include "include/peers/PeerMesh.h"
#include "include/peers/RelayController.h"
#include "include/peers/RolloutController.h"
#include "include/peers/RoomController.h"
#include "include/peers/StoredStreamController.h"
#include "include/peers/StreamController.h"
#include "include/peers/VersionRecordController.h"
#include "include/request/AnswerMemory.h"
#include "include/request/PlaceAttempt.h"
#include "include/request/QuarantineController.h"
#include "include/request/ReachMonitor.h"
#include "include/request/RequestLog.h"
#include "include/state/ConfigurationState.h"
#include "include/state/GatewaySettings.h"
#include "include/state/UpstreamList.h"
#include "include/state/UpstreamRecords.h"

#include <memory>
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
    VersionRecordController& versionRecords;
    StoredStreamController& storedStreams;
    ReachMonitor& reach;
    RelayController& relays;
    RoomController& room;
    const MachineShares shares = MachineShares::Of(settings.machine);
    std::shared_ptr<AnswerMemory> answerMemory =
        std::make_shared<AnswerMemory>(shares.answerMemory);
    std::shared_ptr<RequestMemory> requestMemory =
        std::make_shared<RequestMemory>(shares.requestMemory);
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
    return {lifecycle.refusing(now),    catalog,
            configuration.age(now),     isListed,
            configuration.superseded(), lifecycle.answersUntil()};
}

}  // namespace onyx
