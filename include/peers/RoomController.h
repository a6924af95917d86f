// Carries out admission by room: asks the gate of a service whether a request may be sent, and
// exchanges with the other boxes what they see of the services that are short of room.
//
// Owns a gate for each service and the exchange. Relies on RoomGate and RoomExchange for all
// decisions, on UpstreamList, UpstreamRecords and EvacuationList for the slots of services, and on
// PeerMesh for the boxes of the site.
#pragma once

#include "include/admission/RoomGate.h"
#include "include/peers/PeerDatagrams.h"
#include "include/peers/PeerMesh.h"
#include "include/peers/RoomExchange.h"
#include "include/state/EvacuationList.h"
#include "include/state/UpstreamList.h"

#include <map>
#include <optional>
#include <random>
#include <string_view>

namespace onyx {

// Returns the class of requests of `priority` and of the team `team`; an empty name: no team.
// Preconditions: none. Thread safety: any thread.
DemandClass DemandClassOf(int priority, std::string_view team);

// What the controller reads.
struct RoomKnowledge {
    const UpstreamList& upstreams;
    const UpstreamRecords& records;
    const EvacuationList& evacuations;
};

// Not thread safe: one io_context.
class RoomController {
public:
    // Services with a gate; requests for further ones are all granted.
    static constexpr size_t kMaxServices = 256;

    // Preconditions: all arguments, and what `knowledge` refers to, outlive the controller.
    RoomController(asio::io_context& io, const GatewaySettings& settings,
                   const RoomKnowledge& knowledge, PeerMesh& mesh, PeerDatagrams& datagrams,
                   Metrics& metrics);

    // Begins to exchange counts with other boxes. Preconditions: the mesh was started; called once,
    // before the datagrams are started.
    void start();

    // Decides on a request for `service` that arrives. `fingerprint`: as for RoomGate::decide().
    // Preconditions: `now` does not decrease between calls.
    RoomDecision decide(const ServiceId& service, const DemandClass& of, uint64_t fingerprint,
                        MonoTime now);
    // Counts a request that is admitted without being asked about. Preconditions: as above.
    void noteExempt(const ServiceId& service, const DemandClass& of, MonoTime now);

    // Counts a request that goes out to an upstream, and its end there. Preconditions: as above;
    // each noteEnded() follows a noteSent().
    void noteSent(const ServiceId& service, MonoTime now);
    void noteEnded(const ServiceId& service, const RoomEnd& end, MonoTime now);

private:
    struct Service {
        explicit Service(uint64_t seed) : gate(seed) {}
        RoomGate gate;
        bool limited = false;                 // As last logged.
        std::optional<MonoTime> sharesAsOf;   // Of the site's shares that the gate has.
        std::optional<MonoTime> exchangedAt;  // When it was last part of the exchange.
    };

    Service* serviceOf(const ServiceId& service);
    Service* followed(const std::string& name, MonoTime now);
    void handleReport(const std::string& from, const wire::RoomReportT& report);
    void handleShares(const std::string& from, const wire::RoomSharesT& shares);
    Task<> run();
    void step(MonoTime now);
    bool report(const ServiceId& id, Service& service, MonoTime now);
    void exchange(MonoTime now);
    void updateBoxes();
    double slotsOf(const ServiceId& service, MonoTime now) const;
    void takeShares(const ServiceId& id, Service& service);
    void forgetUnlisted();
    void observe(const ServiceId& id, Service& service, MonoTime now);
    void send(std::span<const OutgoingFrame> frames);

    asio::io_context& m_io;
    bool m_enabled;
    std::string m_zone;
    RoomKnowledge m_knowledge;
    PeerMesh& m_mesh;
    PeerDatagrams& m_datagrams;
    Metrics& m_metrics;
    std::mt19937_64 m_random{std::random_device{}()};
    std::map<ServiceId, Service> m_services;
    std::optional<RoomExchange> m_exchange;  // Set once this box knows its address.
    uint64_t m_directoryVersion = 0;         // Of the boxes that the exchange has.
};

}  // namespace onyx
