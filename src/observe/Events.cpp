#include "include/observe/Events.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <nlohmann/json.hpp>

namespace onyx {

std::string_view EventName(Event event) {
    switch (event) {
        case Event::kStarted:
            return "started";
        case Event::kStopping:
            return "stopping";
        case Event::kTaskFailed:
            return "task-failed";
        case Event::kListenFailed:
            return "listen-failed";
        case Event::kPeerUp:
            return "peer-up";
        case Event::kPeerDown:
            return "peer-down";
        case Event::kFrameBad:
            return "frame-bad";
        case Event::kPeerVersion:
            return "peer-version";
        case Event::kPeerSite:
            return "peer-site";
        case Event::kHomesChanged:
            return "homes-changed";
        case Event::kConfigInForce:
            return "config-in-force";
        case Event::kConfigStale:
            return "config-stale";
        case Event::kConfigCorrupt:
            return "config-corrupt";
        case Event::kConfigFromPeer:
            return "config-from-peer";
        case Event::kPlatformDown:
            return "platform-down";
        case Event::kPlatformUp:
            return "platform-up";
        case Event::kLeaseHeld:
            return "lease-held";
        case Event::kLeaseLost:
            return "lease-lost";
        case Event::kRosterChanged:
            return "roster-changed";
        case Event::kTakeover:
            return "takeover";
        case Event::kStreamResumed:
            return "stream-resumed";
        case Event::kStreamBroken:
            return "stream-broken";
        case Event::kAnswerCrossed:
            return "answer-crossed";
        case Event::kEngineLeaving:
            return "engine-leaving";
        case Event::kEngineDown:
            return "engine-down";
        case Event::kPreempted:
            return "preempted";
        case Event::kDrainStarted:
            return "drain-started";
        case Event::kDrainDone:
            return "drain-done";
        case Event::kFaultSet:
            return "fault-set";
        case Event::kRequestDone:
            return "request-done";
        case Event::kRequestRefused:
            return "request-refused";
        case Event::kSendEnded:
            return "send-ended";
        case Event::kAttemptStarted:
            return "attempt-started";
        case Event::kConnectionDropped:
            return "connection-dropped";
        case Event::kAnswerHeadBad:
            return "answer-head-bad";
        case Event::kCallerBad:
            return "caller-bad";
        case Event::kUpstreamChanged:
            return "upstream-changed";
        case Event::kUpstreamEjected:
            return "upstream-ejected";
        case Event::kObjectBad:
            return "object-bad";
        case Event::kUpstreamsListed:
            return "upstreams-listed";
        case Event::kStoreDown:
            return "store-down";
        case Event::kStoreUp:
            return "store-up";
        case Event::kCatalogInForce:
            return "catalog-in-force";
        case Event::kServingStale:
            return "serving-stale";
        case Event::kFollowing:
            return "following";
        case Event::kReadiness:
            return "readiness";
        case Event::kReloaded:
            return "reloaded";
    }
    return "unlisted";
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
    // Lines that wait to be written; beyond them the oldest are dropped. A choice: some 1 MB.
    constexpr size_t kQueuedLines = 4096;
    spdlog::init_thread_pool(kQueuedLines, 1);
    UseLogger(spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(std::string(process)), level);
    spdlog::flush_every(std::chrono::seconds(1));
}

void FlushLog() {
    spdlog::shutdown();
}

}  // namespace onyx
