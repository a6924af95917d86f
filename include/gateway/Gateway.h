// The deployed process of a box: takes callers' requests and relays them to upstreams, by what the
// object store says. It only makes the parts and connects them; who owns which state:
//
//   ConfigurationState  the configuration in force and its age
//   UpstreamList        the list of upstreams and its age
//   UpstreamRecords     their health, loads and caches, kept connections
//   QuarantineController  which requests crash upstreams
//   ReachMonitor        of which services this box reaches no upstream
//   RelayController     requests that other boxes handle for this one
//   RolloutList         the operators' rollout orders and their age
//   RolloutController   the rollouts, as this box carries them out
//   Lifecycle           how far this box's life has come, requests under way
//   LocalRetryBudgets     this box's part of the retry budget
//   StoreController     the watches of the store and whether it answers
//   PeerMesh            the links to other boxes
//   VersionRecordController  which versions begin streams, as the store records it
//   StoredStreamController  origins of streams, as the store keeps them
//   PeerDatagrams       the datagrams between boxes
//   RoomController      which requests are admitted for want of room
//   PeerSync            whom this box follows and what it asks other boxes
//   CallerServer        callers' connections
//   StatusServer        readiness for the balancer, metrics for the operators
#pragma once

#include "include/gateway/StatusServer.h"
#include "include/peers/PeerSync.h"
#include "include/request/CallerServer.h"
#include "include/request/RequestContext.h"
#include "include/state/StoreController.h"

#include <functional>
#include <memory>

namespace onyx {

// Not thread safe: one io_context.
class Gateway {
public:
    // Listens on the addresses of the settings and begins to follow the store.
    // Errors: kUnavailable if an address cannot be bound.
    // Preconditions: all arguments outlive the gateway.
    static Result<std::unique_ptr<Gateway>> Make(asio::io_context& io,
                                                 const GatewaySettings& settings,
                                                 const Dialect& dialect);

    // Begins a planned stop: not ready from now on, requests under way are answered, and `done`
    // is called when the process may end. Preconditions: called once.
    void drain(std::function<void()> done);

    // Where it listens; the kernel's choice where the settings ask for port 0. Preconditions: none.
    Endpoint callers() const { return m_callers.endpoint(); }
    Endpoint readiness() const { return m_status.readiness(); }
    Endpoint metrics() const { return m_status.metrics(); }
    Endpoint peers() const { return m_mesh.endpoint(); }

    // Boxes heard of lately, this one included. Preconditions: none.
    size_t boxesKnown() const { return m_mesh.boxesKnown(); }
    // Links to other boxes that stand. Preconditions: none.
    size_t links() const { return m_mesh.links(); }

    // Whether it follows another box in place of watching the store. Preconditions: none.
    bool following() const { return m_sync.following(); }

    // Whether streams that can be taken up may begin here. Preconditions: none.
    bool beginsStreams() const { return m_versionRecords.knowsAll(); }

    // Whether the balancer may send callers here: this box can serve them, streams that can be
    // taken up included unless their versions cannot be read now. Preconditions: none.
    bool ready() const {
        return !m_lifecycle.draining() && knowsEnough() && m_versionRecords.hasSettled();
    }

private:
    Gateway(asio::io_context& io, const GatewaySettings& settings, const Dialect& dialect);
    Result<bool> start();
    bool knowsEnough() const;
    void onReachChange(const ServiceId& service, bool lost);
    StorePacingInputs pacingFacts() const;
    Task<> runDrain(std::function<void()> done);
    Task<> trimConnections();

    asio::io_context& m_io;
    const GatewaySettings& m_settings;
    Metrics m_metrics;
    ConfigurationState m_configuration;
    UpstreamRecords m_records;
    UpstreamList m_upstreams;
    EvacuationList m_evacuations;
    RolloutList m_rolloutList;
    Lifecycle m_lifecycle;
    LocalRetryBudgets m_retries;
    RequestLog m_log;
    StoreController m_store;
    PeerMesh m_mesh;
    RolloutController m_rollouts;
    PeerSync m_sync;
    QuarantineController m_quarantine;
    PeerDatagrams m_datagrams;
    StreamController m_streams;
    VersionRecordController m_versionRecords;
    StoredStreamController m_storedStreams;
    RoomController m_room;
    ReachMonitor m_reach;
    RelayController m_relays;
    RequestContext m_context;
    CallerServer m_callers;
    StatusServer m_status;
};

}  // namespace onyx
