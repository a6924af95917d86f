#include "include/gateway/Gateway.h"

#include "include/base/Hash.h"
#include "include/observe/Events.h"

#include <random>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kDrainPeriod = 20;   // How often a planned stop looks for requests under way.
constexpr Millis kTrimPeriod = 1000;  // How often idle connections to upstreams are looked at.

}  // namespace

Gateway::Gateway(asio::io_context& io, const GatewaySettings& settings, const Dialect& dialect)
    : m_io(io),
      m_settings(settings),
      m_records(io.get_executor(), settings.health),
      m_upstreams(m_records),
      m_evacuations(m_metrics),
      m_rolloutList(m_metrics),
      m_lifecycle(settings.drain),
      m_retries(settings.retry, ReadClocks().mono, std::random_device{}()),
      m_log(m_metrics),
      m_store(
          io.get_executor(), settings, dialect, m_configuration, m_upstreams, m_evacuations,
          m_rolloutList, m_metrics, [this] { return pacingFacts(); },
          [this](ObjectKind kind) { return m_sync.mayCallStore(kind); },
          [this] { return m_sync.leavesListToPeers(); }),
      m_mesh(io, settings, m_records, m_metrics,
             {[this](const std::string& from, const wire::KnowledgeAskT& ask) {
                  m_sync.onKnowledgeQuery(from, ask);
              },
              [this](const std::string& from, const wire::KnowledgeReplyT& reply) {
                  m_sync.onKnowledgeReply(from, reply);
              },
              [this](const std::string& from, const wire::CrashReportsT& reports) {
                  m_quarantine.onReports(from, reports);
              },
              [this](const std::string& from, const wire::RolloutReportsT& reports) {
                  m_rollouts.onReports(from, reports);
              },
              [this](const std::string& address) {
                  m_sync.onLinked(address);
                  m_quarantine.onLinked(address);
              },
              [this](Tcp::socket socket) { m_callers.takeRelayed(std::move(socket)); }}),
      m_rollouts(io, settings, dialect, m_upstreams, m_rolloutList, m_metrics,
                 {[this] { return !m_sync.following(); },
                  [this](const wire::RolloutReportsT& reports) {
                      for (const std::string& address : m_sync.judgingPeers()) {
                          m_mesh.send(address, reports);
                      }
                  }}),
      m_sync(settings, dialect, {m_configuration, m_upstreams, m_evacuations, m_rollouts}, m_store,
             m_mesh),
      m_quarantine(io, m_records, m_upstreams, m_mesh, m_log),
      m_datagrams(io, m_metrics),
      m_streams(io, settings, m_upstreams, m_mesh, m_datagrams, m_metrics),
      m_versionRecords(
          io, settings, dialect, m_configuration, m_upstreams, m_metrics,
          {[this] { return !m_sync.following(); }, [this] { return m_mesh.isLinkedToUnrecorded(); },
           [this](const ServiceId& service) { return m_rolloutList.orders().contains(service); },
           [this](const ServiceId& service, const std::string& version) {
               return m_streams.isNewVersion(service, version);
           }}),
      m_storedStreams(io, settings, dialect, m_metrics,
                      {[this] { return m_mesh.boxesKnown(); },
                       [this](const StreamOrigin& origin, uint64_t fingerprint) {
                           return m_versionRecords.determines(origin, fingerprint);
                       }}),
      m_room(io, settings, {m_upstreams, m_records, m_evacuations}, m_mesh, m_datagrams, m_metrics),
      m_reach(io, m_upstreams, m_metrics,
              [this](const ServiceId& service, bool lost) { onReachChange(service, lost); }),
      m_relays(settings, m_mesh),
      m_context{
          io,         settings,  dialect,          m_configuration, m_upstreams, m_evacuations,
          m_records,  m_retries, m_lifecycle,      m_mesh,          m_log,       m_quarantine,
          m_rollouts, m_streams, m_versionRecords, m_storedStreams, m_reach,     m_relays,
          m_room},
      m_callers(m_context),
      m_status(settings, dialect, m_configuration, m_lifecycle, m_metrics, m_context.requestMemory,
               [this] { return ready(); }) {}

Result<std::unique_ptr<Gateway>> Gateway::Make(asio::io_context& io,
                                               const GatewaySettings& settings,
                                               const Dialect& dialect) {
    std::unique_ptr<Gateway> gateway(new Gateway(io, settings, dialect));
    BOOST_OUTCOME_TRY(gateway->start());
    return gateway;
}

Result<bool> Gateway::start() {
    BOOST_OUTCOME_TRY(m_callers.start());
    BOOST_OUTCOME_TRY(m_status.start(m_io));
    BOOST_OUTCOME_TRY(m_mesh.start());
    m_streams.start();
    m_room.start();
    BOOST_OUTCOME_TRY(m_datagrams.start(m_mesh.endpoint()));
    m_store.start();
    Spawn(m_io.get_executor(), trimConnections());
    Spawn(m_io.get_executor(), m_sync.run());
    Spawn(m_io.get_executor(), m_rollouts.run());
    Spawn(m_io.get_executor(), m_versionRecords.run());
    Spawn(m_io.get_executor(), m_storedStreams.run());
    return true;
}

bool Gateway::knowsEnough() const {
    const AdmissionState knowledge =
        KnowledgeOf(m_configuration, m_upstreams, m_lifecycle, ReadClocks().mono);
    return CanAdmit(m_settings.admission, knowledge);
}

// Upstreams that this box took for unreachable while its own network had failed get requests again.
void Gateway::onReachChange(const ServiceId& service, bool lost) {
    std::vector<uint32_t> lostServices;
    for (const ServiceId& each : m_reach.lost()) {
        lostServices.push_back(ShortHash(each.value));
    }
    m_mesh.announceLostServices(std::move(lostServices));
    if (lost) {
        return;
    }
    for (const auto& [id, entry] : m_upstreams.table().all()) {
        if (entry.upstream.service == service) {
            m_records.endUnreachable(id);
        }
    }
}

StorePacingInputs Gateway::pacingFacts() const {
    return {m_sync.watchesForOthers(), m_sync.reliesOnPeers(), knowsEnough(), m_mesh.boxesKnown()};
}

Task<> Gateway::trimConnections() {
    while (true) {
        co_await SleepFor(kTrimPeriod);
        const MonoTime now = ReadClocks().mono;
        m_records.pool().trim(m_settings.idleConnection, now);
        m_quarantine.expire(now);
    }
}

void Gateway::drain(std::function<void()> done) {
    m_lifecycle.startDraining(ReadClocks().mono);
    logEvent(Event::kDrainStarted, {{"active", std::to_string(m_lifecycle.activeRequests())}});
    Spawn(m_io.get_executor(), runDrain(std::move(done)));
}

Task<> Gateway::runDrain(std::function<void()> done) {
    while (!m_lifecycle.refusing(ReadClocks().mono)) {
        co_await SleepFor(kDrainPeriod);
    }
    while (true) {
        const MonoTime now = ReadClocks().mono;
        m_callers.close(now);
        if (m_lifecycle.ending(now)) {
            m_callers.endRequests();
        }
        if (m_lifecycle.canExit(now, m_callers.connections())) {
            break;
        }
        co_await SleepFor(kDrainPeriod);
    }
    logEvent(Event::kDrainDone, {{"left", std::to_string(m_lifecycle.activeRequests())}});
    // What has ended is written. What is left is cut here, with its line in the log, and not with
    // the process, which may yet have to wait for its log.
    co_await SleepFor(kDrainPeriod);
    m_callers.abort();
    co_await SleepFor(kDrainPeriod);
    done();
}

}  // namespace onyx
