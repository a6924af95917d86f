#include "include/gateway/StoreController.h"

#include "include/observe/Events.h"

#include <algorithm>
#include <set>

namespace onyx {

namespace {

std::string ObjectsName(ObjectKind kind) {
    switch (kind) {
        case ObjectKind::kConfiguration:
            return "configuration";
        case ObjectKind::kUpstreams:
            return "upstreams";
        case ObjectKind::kEvacuations:
            return "evacuations";
    }
    return "invalid";
}

bool AnyReportsStartTime(const StoreUpdate& update) {
    return std::any_of(update.objects.begin(), update.objects.end(), [](const StoredObject& o) {
        const auto* upstream = std::get_if<Upstream>(&o.content);
        return upstream != nullptr && upstream->startedMs != 0;
    });
}

}  // namespace

StoreController::StoreController(asio::any_io_executor executor, const GatewaySettings& settings,
                                 const Dialect& dialect, ConfigurationState& configuration,
                                 UpstreamList& upstreams, EvacuationList& evacuations,
                                 Metrics& metrics, std::function<StorePacingFacts()> facts,
                                 MayCall mayCall)
    : m_executor(std::move(executor)),
      m_settings(settings),
      m_dialect(dialect),
      m_configurationState(configuration),
      m_upstreamList(upstreams),
      m_evacuationList(evacuations),
      m_metrics(metrics),
      m_pacingFacts(std::move(facts)),
      m_mayCall(std::move(mayCall)) {}

void StoreController::start() {
    std::vector<ObjectKind> kinds = {ObjectKind::kConfiguration, ObjectKind::kUpstreams};
    if (m_settings.evacuationBound > 0) {
        kinds.push_back(ObjectKind::kEvacuations);
    }
    for (const ObjectKind kind : kinds) {
        const auto& watch = m_watches[kind] = makeWatch(kind);
        Spawn(m_executor, watch->run());
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
    sink.onReachable = [kind](const std::string& why) { onReachable(kind, why); };
    sink.onCall = [this, kind](const StoreCall& call) { onCall(kind, call); };
    sink.mayCall = [this, kind] { return m_mayCall(kind); };
    sink.knownRevision = [this, kind] { return knownRevision(kind); };
    sink.wait = [this, kind] { return watchWait(kind); };
    sink.pauseAfterChanges = [this, kind] { return pauseAfterChanges(kind); };
    sink.pauseAfterFailure = [this](Millis previous) {
        return PauseAfterFailure(previous, m_pacingFacts());
    };
    return std::make_unique<StoreWatch>(m_executor, m_dialect, watch, std::move(sink));
}

// The revision up to which other boxes may have told the objects.
uint64_t StoreController::knownRevision(ObjectKind kind) const {
    switch (kind) {
        case ObjectKind::kConfiguration:
            return 0;
        case ObjectKind::kUpstreams:
            return m_upstreamList.table().revision();
        case ObjectKind::kEvacuations:
            return m_evacuationList.orders().revision();
    }
    return 0;
}

Millis StoreController::watchWait(ObjectKind kind) const {
    if (kind == ObjectKind::kEvacuations) {
        return EvacuationWait(m_settings.evacuationBound);
    }
    const StorePacingSettings& pacing = m_settings.pacing;
    const bool configuration = kind == ObjectKind::kConfiguration;
    const Millis wait = configuration ? pacing.configurationWait : pacing.upstreamWait;
    return HeldWait(pacing, m_pacingFacts(), wait);
}

// A change of the configuration is to be in force at once, as is an evacuation; those of upstreams
// come together.
Millis StoreController::pauseAfterChanges(ObjectKind kind) const {
    return kind == ObjectKind::kUpstreams ? PauseAfterChanges(m_settings.pacing, m_pacingFacts())
                                          : 0;
}

void StoreController::wake() {
    for (const auto& [kind, watch] : m_watches) {
        watch->wake();
    }
}

// One line a call: calls are priced, and few.
void StoreController::onCall(ObjectKind kind, const StoreCall& call) {
    const std::string cause(StoreCallCauseName(call.cause));
    m_metrics.count("onyx_store_calls_total", {{"objects", ObjectsName(kind)}, {"cause", cause}});
    logEvent(Event::kStoreCall, {{"objects", ObjectsName(kind)},
                                 {"cause", cause},
                                 {"target", call.target},
                                 {"end", call.end},
                                 {"took_ms", std::to_string(call.took)}});
}

void StoreController::onReachable(ObjectKind kind, const std::string& why) {
    if (why.empty()) {
        logEvent(Event::kStoreUp, {{"objects", ObjectsName(kind)}});
    } else {
        logEvent(Event::kStoreDown, {{"objects", ObjectsName(kind)}, {"why", why}});
    }
}

void StoreController::onUpdate(ObjectKind kind, const StoreUpdate& update) {
    switch (kind) {
        case ObjectKind::kConfiguration:
            return applyConfiguration(update);
        case ObjectKind::kUpstreams:
            return applyUpstreams(update);
        case ObjectKind::kEvacuations:
            return applyEvacuations(update);
    }
}

void StoreController::applyConfiguration(const StoreUpdate& update) {
    for (const StoredObject& object : update.objects) {
        if (const auto* configuration = std::get_if<StoredConfiguration>(&object.content)) {
            if (!isOlderCopy(update, *configuration)) {
                m_configurationState.apply(*configuration);
            }
        } else if (const auto* error = std::get_if<Error>(&object.content)) {
            m_configurationState.reject(*error);
        }
    }
    if (update.asOf) {
        m_configurationState.confirm(*update.asOf);
    }
}

// Whether a copy of the store has not got as far as this box has.
bool StoreController::isOlderCopy(const StoreUpdate& update,
                                  const StoredConfiguration& configuration) const {
    return !update.asOf && m_configurationState.catalog() &&
           configuration.parts.version < m_configurationState.version();
}

void StoreController::applyUpstreams(const StoreUpdate& update) {
    // What another box had may be ahead of an answer that was on its way, and of any copy. A list
    // of the store itself counts also where it is behind: the store was restored.
    const bool authoritative = update.whole && update.asOf;
    if (authoritative || update.revision >= m_upstreamList.table().revision()) {
        m_upstreamList.apply(makeUpstreamChanges(update), "store", ReadClocks().mono);
    }
    if (update.asOf) {
        m_upstreamList.confirm(*update.asOf);
    }
}

// What cannot be read names no zone; the orders that stand hold.
void StoreController::applyEvacuations(const StoreUpdate& update) {
    EvacuationChanges changes;
    changes.whole = update.whole;
    changes.revision = update.revision;
    std::map<std::string, bool> stands;  // The last word on a zone counts.
    for (const StoredObject& object : update.objects) {
        if (const auto* error = std::get_if<Error>(&object.content)) {
            recordUnreadable("evacuation " + object.name, error->text());
        } else {
            stands[object.name] = !object.removed;
        }
    }
    for (const auto& [zone, stand] : stands) {
        (stand ? changes.begun : changes.ended).push_back(zone);
    }
    const bool authoritative = update.whole && update.asOf;
    m_evacuationList.apply(changes, authoritative, "store", ReadClocks().mono);
    if (update.asOf) {
        m_evacuationList.confirm(*update.asOf);
    }
}

void StoreController::recordUnreadable(const std::string& object, const std::string& why) const {
    m_metrics.count("onyx_objects_unreadable_total");
    logEvent(Event::kObjectBad, {{"object", object}, {"why", why}});
}

// Where upstreams say when they started, all do: an entry that does not is of another writer, and
// one that names no upstream must not take the place of one that did.
UpstreamChanges StoreController::makeUpstreamChanges(const StoreUpdate& update) const {
    UpstreamChanges changes;
    changes.whole = update.whole;
    changes.revision = update.revision;
    std::set<std::string_view> seen;
    const bool reportsStartTimes =
        AnyReportsStartTime(update) || m_upstreamList.reportsStartTimes();
    // The last word on an object counts: an upstream may drain and be removed within one answer.
    for (auto it = update.objects.rbegin(); it != update.objects.rend(); ++it) {
        const StoredObject& object = *it;
        if (!seen.insert(object.name).second) {
            continue;
        }
        if (object.removed) {
            changes.removed.push_back(object.name);
        } else if (const auto* error = std::get_if<Error>(&object.content)) {
            recordUnreadable(object.name, error->text());
            changes.removed.push_back(object.name);
        } else if (const auto* upstream = std::get_if<Upstream>(&object.content)) {
            if (reportsStartTimes && upstream->startedMs == 0) {
                recordUnreadable(object.name, "it says no start, and others do");
                changes.removed.push_back(object.name);
            } else {
                changes.changed.push_back(*upstream);
            }
        }
    }
    return changes;
}

}  // namespace onyx
