#include "include/observe/Events.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <iterator>
#include <memory>
#include <thread>

namespace onyx {

namespace {

struct NamedEvent {
    Event event;
    std::string_view name;
};

// The catalogue's names; a test compares them with the numbers and with docs/EVENTS.md.
constexpr NamedEvent kNames[] = {
    {Event::kStarted, "started"},
    {Event::kStopping, "stopping"},
    {Event::kTaskFailed, "task-failed"},
    {Event::kListenFailed, "listen-failed"},
    {Event::kPeerUp, "peer-up"},
    {Event::kPeerDown, "peer-down"},
    {Event::kFrameBad, "frame-bad"},
    {Event::kPeerVersion, "peer-version"},
    {Event::kPeerSite, "peer-site"},
    {Event::kFrameUnknown, "frame-unknown"},
    {Event::kHomesChanged, "homes-changed"},
    {Event::kConfigInForce, "config-in-force"},
    {Event::kConfigStale, "config-stale"},
    {Event::kConfigCorrupt, "config-corrupt"},
    {Event::kConfigFromPeer, "config-from-peer"},
    {Event::kPlatformDown, "platform-down"},
    {Event::kPlatformUp, "platform-up"},
    {Event::kLeaseHeld, "lease-held"},
    {Event::kLeaseLost, "lease-lost"},
    {Event::kRosterChanged, "roster-changed"},
    {Event::kTakeover, "takeover"},
    {Event::kStreamResumed, "stream-resumed"},
    {Event::kStreamBroken, "stream-broken"},
    {Event::kAnswerCrossed, "answer-crossed"},
    {Event::kEngineLeaving, "engine-leaving"},
    {Event::kEngineDown, "engine-down"},
    {Event::kPreempted, "preempted"},
    {Event::kDrainStarted, "drain-started"},
    {Event::kDrainDone, "drain-done"},
    {Event::kFaultSet, "fault-set"},
    {Event::kRequestDone, "request-done"},
    {Event::kRequestRefused, "request-refused"},
    {Event::kAttemptEnded, "send-ended"},
    {Event::kAttemptStarted, "attempt-started"},
    {Event::kConnectionDropped, "connection-dropped"},
    {Event::kAnswerHeadBad, "answer-head-bad"},
    {Event::kRequestQuarantined, "request-quarantined"},
    {Event::kAllLeftOut, "all-upstreams-left-out"},
    {Event::kRequestRelayed, "request-relayed"},
    {Event::kStreamTakenUp, "stream-taken-up"},
    {Event::kRequestNoRoom, "request-no-room"},
    {Event::kCallerClosed, "caller-closed"},
    {Event::kCrashEvidence, "crash-evidence"},
    {Event::kCallerBad, "caller-bad"},
    {Event::kUpstreamChanged, "upstream-changed"},
    {Event::kUpstreamEjected, "upstream-ejected"},
    {Event::kObjectBad, "object-bad"},
    {Event::kUpstreamsListed, "upstreams-listed"},
    {Event::kUpstreamRestarted, "upstream-restarted"},
    {Event::kUpstreamCrashed, "upstream-crashed"},
    {Event::kUpstreamBacksOff, "upstream-backs-off"},
    {Event::kUpstreamLeaves, "upstream-leaves"},
    {Event::kUpstreamCold, "upstream-cold"},
    {Event::kZoneEvacuated, "zone-evacuated"},
    {Event::kRolloutOrdered, "rollout-ordered"},
    {Event::kRolloutStage, "rollout-stage"},
    {Event::kRolloutStatus, "rollout-status"},
    {Event::kServiceReach, "service-reach"},
    {Event::kServiceRoom, "service-room"},
    {Event::kStreamVersions, "stream-versions"},
    {Event::kStoreDown, "store-down"},
    {Event::kStoreUp, "store-up"},
    {Event::kCatalogInForce, "catalog-in-force"},
    {Event::kServingStale, "serving-stale"},
    {Event::kFollowing, "following"},
    {Event::kStoreCall, "store-call"},
    {Event::kReadiness, "readiness"},
    {Event::kReloaded, "reloaded"},
};

}  // namespace

std::string_view EventName(Event event) {
    const auto* named = std::find_if(std::begin(kNames), std::end(kNames),
                                     [&](const NamedEvent& row) { return row.event == event; });
    return named == std::end(kNames) ? "unlisted" : named->name;
}

void logEvent(Event event, std::initializer_list<EventField> fields) {
    nlohmann::ordered_json line = {{"event", static_cast<int>(event)}, {"name", EventName(event)}};
    for (const EventField& field : fields) {
        line[std::string(field.name)] = field.value;
    }
    using nlohmann::json;
    spdlog::info("{}", line.dump(-1, ' ', false, json::error_handler_t::replace));
}

namespace {

// Makes `logger` the one of this process, with lines of the one form that all programs have.
void UseLogger(std::shared_ptr<spdlog::logger> logger, std::string_view level) {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %l %v");
    logger->set_level(spdlog::level::from_str(std::string(level)));
    spdlog::set_default_logger(std::move(logger));
}

}  // namespace

void SetUpLog(std::string_view process, std::string_view level) {
    auto logger = spdlog::stderr_logger_mt(std::string(process));
    logger->flush_on(spdlog::level::info);
    UseLogger(std::move(logger), level);
}

void SetUpAsyncLog(std::string_view process, std::string_view level) {
    // Lines that wait to be written; beyond them the oldest are dropped.
    constexpr size_t kQueuedLines = 4096;
    spdlog::init_thread_pool(kQueuedLines, 1);
    UseLogger(spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(std::string(process)), level);
    spdlog::flush_every(std::chrono::seconds(1));
}

void FlushLog() {
    constexpr int kFlushTime = 150;  // Milliseconds; a stop ends within its grace all the same.
    // The writing thread may be blocked for good by a full pipe, and with it the shutdown.
    auto done = std::make_shared<std::promise<void>>();
    std::thread([done] {
        spdlog::shutdown();
        done->set_value();
    }).detach();
    done->get_future().wait_for(std::chrono::milliseconds(kFlushTime));
}

}  // namespace onyx
