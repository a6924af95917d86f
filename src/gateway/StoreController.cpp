#include "include/gateway/StoreController.h"

#include "include/observe/Events.h"

#include <set>

namespace onyx {

StoreController::StoreController(asio::any_io_executor executor, const GatewaySettings& settings,
                                 const Dialect& dialect, ConfigurationState& configuration,
                                 UpstreamList& upstreams, Metrics& metrics,
                                 std::function<StorePacingFacts()> facts)
    : m_executor(std::move(executor)),
      m_settings(settings),
      m_dialect(dialect),
      m_configurationState(configuration),
      m_upstreamList(upstreams),
      m_metrics(metrics),
      m_facts(std::move(facts)) {}

void StoreController::start() {
    for (const ObjectKind kind : {ObjectKind::kConfiguration, ObjectKind::kUpstreams}) {
        followed(kind).watch = makeWatch(kind);
        Spawn(m_executor, watchOf(kind).run());
    }
}

std::unique_ptr<StoreWatch> StoreController::makeWatch(ObjectKind kind) {
    StoreWatchSettings watch;
    watch.store = m_settings.store;
    watch.kind = kind;
    watch.timeout = m_settings.storeTimeout;
    watch.staggered = kind == ObjectKind::kConfiguration;
    StoreWatch::Sink sink;
    sink.onUpdate = [this, kind](const StoreUpdate& update) { onUpdate(kind, update); };
    sink.onReachable = [this, kind](const std::string& why) { onReachable(kind, why); };
    sink.onCall = [this] { m_metrics.count("onyx_store_calls_total"); };
    sink.wait = [this, kind] { return watchWait(kind); };
    sink.pauseAfterChanges = [this, kind] { return pauseAfterChanges(kind); };
    sink.pauseAfterList = [this] { return PauseAfterList(m_settings.pacing, m_facts()); };
    sink.maxPauseAfterFailure = [this] { return MaxPauseAfterFailure(m_facts()); };
    return std::make_unique<StoreWatch>(m_executor, m_dialect, watch, std::move(sink));
}

Millis StoreController::watchWait(ObjectKind kind) const {
    const StorePacingSettings& pacing = m_settings.pacing;
    const bool configuration = kind == ObjectKind::kConfiguration;
    const Millis wait = configuration ? pacing.configurationWait : pacing.upstreamWait;
    return HeldWait(pacing, m_facts(), wait);
}

// A change of the configuration is to be in force at once; those of upstreams come together.
Millis StoreController::pauseAfterChanges(ObjectKind kind) const {
    return kind == ObjectKind::kConfiguration ? 0 : PauseAfterChanges(m_settings.pacing, m_facts());
}

void StoreController::setFollowing(bool following) {
    for (const ObjectKind kind : {ObjectKind::kConfiguration, ObjectKind::kUpstreams}) {
        if (following) {
            watchOf(kind).pause();
        } else {
            watchOf(kind).resume();
        }
    }
}

void StoreController::onReachable(ObjectKind kind, const std::string& why) {
    const bool upstreams = kind == ObjectKind::kUpstreams;
    const std::string objects = upstreams ? "upstreams" : "configuration";
    followed(kind).answers = why.empty();
    if (why.empty()) {
        logEvent(Event::kStoreUp, {{"objects", objects}});
    } else {
        logEvent(Event::kStoreDown, {{"objects", objects}, {"why", why}});
    }
}

void StoreController::onUpdate(ObjectKind kind, const StoreUpdate& update) {
    if (kind == ObjectKind::kConfiguration) {
        takeConfiguration(update);
    } else {
        takeUpstreams(update);
    }
}

void StoreController::takeConfiguration(const StoreUpdate& update) {
    for (const StoredObject& object : update.objects) {
        if (const auto* configuration = std::get_if<StoredConfiguration>(&object.content)) {
            m_configurationState.take(*configuration);
        } else if (const auto* error = std::get_if<Error>(&object.content)) {
            m_configurationState.reject(*error);
        }
    }
    m_configurationState.confirm(update.asOf);
}

void StoreController::takeUpstreams(const StoreUpdate& update) {
    // What another box had may be ahead of an answer of the store that was on its way.
    if (update.whole || update.revision >= m_upstreamList.table().revision()) {
        m_upstreamList.apply(changesOf(update), "store", ReadClocks().mono);
    }
    m_upstreamList.confirm(update.asOf);
}

UpstreamChanges StoreController::changesOf(const StoreUpdate& update) const {
    UpstreamChanges changes;
    changes.whole = update.whole;
    changes.revision = update.revision;
    std::set<std::string_view> seen;
    // The last word on an object counts: an upstream may drain and be removed within one answer.
    for (auto it = update.objects.rbegin(); it != update.objects.rend(); ++it) {
        const StoredObject& object = *it;
        if (!seen.insert(object.name).second) {
            continue;
        }
        if (object.removed) {
            changes.removed.push_back(object.name);
        } else if (const auto* upstream = std::get_if<Upstream>(&object.content)) {
            changes.changed.push_back(*upstream);
        } else if (const auto* error = std::get_if<Error>(&object.content)) {
            logEvent(Event::kObjectBad, {{"object", object.name}, {"why", error->text()}});
            if (const Upstream* known = m_upstreamList.table().find(object.name)) {
                changes.changed.push_back(*known);
            }
        }
    }
    return changes;
}

}  // namespace onyx
