#include "include/peers/RoomController.h"

#include "include/base/Hash.h"
#include "include/observe/Events.h"

#include <fmt/format.h>

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds. A service stays part of the exchange for this long after the last sign of a
// shortage, here or at another box.
constexpr Millis kExchangeTime = 3000;

}  // namespace

DemandClass DemandClassOf(int priority, std::string_view team) {
    return {priority, team.empty() ? 0 : ShortHash(team)};
}

RoomController::RoomController(asio::io_context& io, const GatewaySettings& settings,
                               const RoomKnowledge& knowledge, PeerMesh& mesh,
                               PeerDatagrams& datagrams, Metrics& metrics)
    : m_io(io),
      m_enabled(settings.admitByRoom),
      m_zone(settings.zone),
      m_knowledge(knowledge),
      m_mesh(mesh),
      m_datagrams(datagrams),
      m_metrics(metrics) {}

void RoomController::start() {
    if (!m_enabled) {
        return;
    }
    m_exchange.emplace(m_mesh.address(), m_zone);
    m_exchange->setBoxes(m_mesh.boxes());  // A box without others is its own collector and root.
    m_directoryVersion = m_mesh.boxesVersion();
    m_datagrams.setHandler<wire::RoomReportT>(
        [this](const std::string& from, const wire::RoomReportT& report) {
            handleReport(from, report);
        });
    m_datagrams.setHandler<wire::RoomSharesT>(
        [this](const std::string& from, const wire::RoomSharesT& shares) {
            handleShares(from, shares);
        });
    Spawn(m_io.get_executor(), run());
}

RoomDecision RoomController::decide(const ServiceId& service, const DemandClass& of,
                                    uint64_t fingerprint, MonoTime now) {
    Service* state = serviceOf(service);
    return state != nullptr ? state->gate.decide(of, fingerprint, now) : RoomGranted{};
}

void RoomController::noteExempt(const ServiceId& service, const DemandClass& of, MonoTime now) {
    if (Service* state = serviceOf(service)) {
        state->gate.noteExempt(of, now);
    }
}

void RoomController::noteSent(const ServiceId& service, MonoTime now) {
    if (Service* state = serviceOf(service)) {
        state->gate.noteSent(now);
    }
}

void RoomController::noteEnded(const ServiceId& service, const RoomEnd& end, MonoTime now) {
    if (Service* state = serviceOf(service)) {
        state->gate.noteEnded(end, now);
    }
}

// Null if there are too many services, or admission by room is switched off.
RoomController::Service* RoomController::serviceOf(const ServiceId& service) {
    const auto known = m_services.find(service);
    if (known != m_services.end()) {
        return &known->second;
    }
    if (!m_enabled || m_services.size() >= kMaxServices) {
        return nullptr;
    }
    return &m_services.try_emplace(service, m_random()).first->second;
}

// The service of another box's message, which the exchange follows from now on; null if this box
// lists no upstream of it.
RoomController::Service* RoomController::followed(const std::string& name, MonoTime now) {
    const ServiceId id{name};
    Service* service = m_knowledge.upstreams.table().count(id) > 0 ? serviceOf(id) : nullptr;
    if (service == nullptr) {
        return nullptr;
    }
    updateBoxes();
    if (!service->exchangedAt) {
        m_exchange->setSlots(id, slotsOf(id, now));
    }
    if (!m_exchange->isReportWanted(id, now)) {
        m_exchange->setOwnCounts(id, service->gate.counts(now), now);
    }
    service->exchangedAt = now;
    return service;
}

void RoomController::handleReport(const std::string& from, const wire::RoomReportT& report) {
    const MonoTime now = ReadClocks().mono;
    if (Service* service = followed(report.service, now)) {
        send(m_exchange->handleReport(from, report, now));
        takeShares(ServiceId{report.service}, *service);
    }
}

void RoomController::handleShares(const std::string& from, const wire::RoomSharesT& shares) {
    const MonoTime now = ReadClocks().mono;
    if (Service* service = followed(shares.service, now)) {
        send(m_exchange->handleShares(from, shares, now));
        takeShares(ServiceId{shares.service}, *service);
    }
}

Task<> RoomController::run() {
    while (true) {
        step(ReadClocks().mono);
        co_await SleepFor(RoomExchange::kPeriod);
    }
}

void RoomController::step(MonoTime now) {
    bool exchanging = false;
    for (auto& [id, service] : m_services) {
        exchanging = report(id, service, now) || exchanging;
    }
    if (exchanging) {
        exchange(now);
    }
    for (auto& [id, service] : m_services) {
        observe(id, service, now);
    }
    forgetUnlisted();
}

// Services without upstreams have no room to divide; they must not use up the places of others.
void RoomController::forgetUnlisted() {
    std::erase_if(m_services, [&](const auto& entry) {
        const auto& [id, service] = entry;
        const bool isListed = m_knowledge.upstreams.table().count(id) > 0;
        if (!isListed && !service.limited) {
            m_exchange->forget(id);
        }
        return !isListed && !service.limited;
    });
}

// Hands this box's counts to the exchange where they are due. Returns whether the service is part
// of the exchange.
bool RoomController::report(const ServiceId& id, Service& service, MonoTime now) {
    RoomCounts counts = service.gate.counts(now);
    if (counts.pressed || m_exchange->isReportWanted(id, now)) {
        m_exchange->setOwnCounts(id, std::move(counts), now);
        service.exchangedAt = now;
    } else if (service.exchangedAt && now - *service.exchangedAt > kExchangeTime) {
        service.exchangedAt.reset();
    }
    return service.exchangedAt.has_value();
}

void RoomController::exchange(MonoTime now) {
    updateBoxes();
    for (auto& [id, service] : m_services) {
        if (service.exchangedAt) {
            m_exchange->setSlots(id, slotsOf(id, now));
        }
    }
    send(m_exchange->makeDueFrames(now));
    for (auto& [id, service] : m_services) {
        takeShares(id, service);
    }
}

void RoomController::updateBoxes() {
    if (m_directoryVersion != m_mesh.boxesVersion()) {
        m_directoryVersion = m_mesh.boxesVersion();
        m_exchange->setBoxes(m_mesh.boxes());
    }
}

// Upstreams that are cold take a few requests only, and have no part in the room.
double RoomController::slotsOf(const ServiceId& service, MonoTime now) const {
    const auto& [upstreams, records, evacuations] = m_knowledge;
    if (upstreams.isPartial()) {
        return 0;  // The room of a part of the list is not that of the service.
    }
    const auto listAge = upstreams.age(now);
    double slots = 0;
    upstreams.table().visitRing(service, 0, [&](const UpstreamTable::Entry& entry) {
        const Upstream& upstream = entry.upstream;
        const Incarnation incarnation = upstream.incarnation();
        const bool takesRequests =
            !upstream.draining && !records.avoidance().isLeaving(incarnation) &&
            !records.isEjected(upstream.id, now) && !records.cold().coldLeft(incarnation, now) &&
            !evacuations.orders().isEvacuated(upstream.zone, listAge, now);
        slots += takesRequests ? upstream.slots : 0;
        return true;
    });
    return slots;
}

void RoomController::takeShares(const ServiceId& id, Service& service) {
    std::optional<SiteShares> newest = m_exchange->sharesOf(id);
    if (newest && (!service.sharesAsOf || *service.sharesAsOf < newest->asOf)) {
        service.sharesAsOf = newest->asOf;
        service.gate.setShares(std::move(newest->shares), newest->asOf);
    }
}

// Logs when a service becomes limited at this box, and when that ends.
void RoomController::observe(const ServiceId& id, Service& service, MonoTime now) {
    const bool limited = service.gate.isLimited(now);
    if (!limited && !service.limited) {
        return;
    }
    const RoomCounts counts = service.gate.counts(now);
    double arrived = 0;
    double admitted = 0;
    for (const ClassCounts& each : counts.classes) {
        arrived += each.arrived;
        admitted += each.admitted;
    }
    const double fraction = arrived > 0 ? admitted / arrived : 1;
    const Millis sharesAge = service.sharesAsOf ? now - *service.sharesAsOf : -1;
    const MetricLabels labels = {{"service", id.value}};
    m_metrics.set("onyx_room_limited", labels, limited ? 1 : 0);
    m_metrics.set("onyx_room_admitted_fraction", labels, limited ? fraction : 1);
    m_metrics.set("onyx_room_shares_age_ms", labels, static_cast<double>(sharesAge));
    if (limited == service.limited) {
        return;
    }
    service.limited = limited;
    const bool own = !service.sharesAsOf || sharesAge > RoomGate::kMaxSharesAge;
    logEvent(Event::kServiceRoom,
             {{"service", id.value},
              {"state", limited ? "limited" : "enough"},
              {"decided_by", own ? "own" : "site"},
              {"arrived_per_s", fmt::format("{:.1f}", arrived)},
              {"admitted_per_s", fmt::format("{:.1f}", admitted)},
              {"in_flight", fmt::format("{:.0f}", counts.inFlight)},
              {"declined_per_s", fmt::format("{:.1f}", counts.declined)},
              {"shares_age_ms", service.sharesAsOf ? std::to_string(sharesAge) : "none"}});
}

void RoomController::send(std::span<const OutgoingFrame> frames) {
    for (const OutgoingFrame& outgoing : frames) {
        m_metrics.count("onyx_room_datagrams_total", {}, outgoing.to.size());
        m_metrics.count("onyx_room_datagram_bytes_total", {},
                        outgoing.to.size() * outgoing.frame.size());
    }
    m_datagrams.sendAll(frames);
}

}  // namespace onyx
