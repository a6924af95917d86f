#include "include/state/StoreController.h"

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
        case ObjectKind::kRollouts:
            return "rollouts";
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
                                 RolloutList& rollouts, Metrics& metrics,
                                 std::function<StorePacingInputs()> facts, MayCall mayCall,
                                 LeavesListToPeers leavesListToPeers)
    : m_executor(std::move(executor)),
      m_settings(settings),
      m_dialect(dialect),
      m_configurationState(configuration),
      m_upstreamList(upstreams),
      m_evacuationList(evacuations),
      m_rolloutList(rollouts),
      m_metrics(metrics),
      m_pacingFacts(std::move(facts)),
      m_mayCall(std::move(mayCall)),
      m_leavesListToPeers(std::move(leavesListToPeers)) {}

void StoreController::start() {
    std::vector<ObjectKind> kinds = {ObjectKind::kConfiguration, ObjectKind::kUpstreams};
    if (m_settings.evacuationBound > 0) {
        kinds.push_back(ObjectKind::kEvacuations);
    }
    if (m_settings.rollout.exposureLimit > 0) {
        kinds.push_back(ObjectKind::kRollouts);
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
    sink.leavesRestToPeers = [this, kind] {
        return kind == ObjectKind::kUpstreams && m_leavesListToPeers();
    };
    sink.knownRevision = [this, kind] { return knownRevision(kind); };
    sink.wait = [this, kind] { return watchWait(kind); };
    sink.pauseAfterChanges = [this, kind] { return pauseAfterChanges(kind); };
    sink.pauseAfterFailure = [this](Millis previous) {
        return PauseAfterFailure(previous, m_pacingFacts());
    };
    sink.answerTime = [this, kind](Millis wait, Millis lateness) {
        return AnswerTime(wait, bound(kind), m_settings.storeTimeout, lateness);
    };
    sink.onSilenceEnded = [this](MonoTime silentAt) { replaceConnections(silentAt); };
    return std::make_unique<StoreWatch>(m_executor, m_dialect, watch, std::move(sink));
}

// The revision up to which this box has the objects, which may have come from other boxes.
uint64_t StoreController::knownRevision(ObjectKind kind) const {
    switch (kind) {
        case ObjectKind::kConfiguration:
            return 0;
        case ObjectKind::kUpstreams:
            return m_upstreamList.table().revision();
        case ObjectKind::kEvacuations:
            return m_evacuationList.orders().revision();
        case ObjectKind::kRollouts:
            return m_rolloutList.revision();
    }
    return 0;
}

Millis StoreController::watchWait(ObjectKind kind) const {
    if (kind == ObjectKind::kEvacuations) {
        return OrderWait(m_settings.evacuationBound);
    }
    if (kind == ObjectKind::kRollouts) {
        return OrderWait(m_settings.rollout.bound);
    }
    const StorePacingSettings& pacing = m_settings.pacing;
    const bool configuration = kind == ObjectKind::kConfiguration;
    const Millis wait = configuration ? pacing.configurationWait : UpstreamWait(pacing);
    return WatchWait(pacing, m_pacingFacts(), wait);
}

// Within which time what a watch tells has to take effect. The watch of the list of upstreams may
// be too long to show a silent connection in time, and relies on that of the configuration; the
// boxes that follow this one learn it a period later.
Millis StoreController::bound(ObjectKind kind) const {
    const StorePacingSettings& pacing = m_settings.pacing;
    if (kind == ObjectKind::kEvacuations) {
        return m_settings.evacuationBound;
    }
    if (kind == ObjectKind::kRollouts) {
        return m_settings.rollout.bound;
    }
    const Millis bound = kind == ObjectKind::kUpstreams
                             ? pacing.upstreamBound
                             : std::min(pacing.configurationBound, pacing.upstreamBound);
    const Millis followPeriod = m_pacingFacts().watchesForOthers ? pacing.followPeriod : 0;
    return std::max<Millis>(0, bound - followPeriod);
}

void StoreController::replaceConnections(MonoTime silentAt) {
    for (const auto& [kind, watch] : m_watches) {
        watch->replaceConnection(silentAt);
    }
}

// The revision counts changes of all kinds. A watch that shows silence in time by itself needs no
// such sign, and a call each time another kind changes.
void StoreController::noteRevision(ObjectKind of, uint64_t revision) {
    for (const auto& [kind, watch] : m_watches) {
        if (kind != of && !ShowsSilence(watchWait(kind), bound(kind))) {
            const Millis wait = m_settings.pacing.configurationWait;
            const Millis margin = AnswerTime(wait, bound(kind), m_settings.storeTimeout, 0) / 2;
            watch->noteStoreRevision(revision, margin);
        }
    }
}

// A configuration change, an evacuation or a rollout must take effect at once, so there is no pause
// after it. Changes of upstreams are batched.
Millis StoreController::pauseAfterChanges(ObjectKind kind) const {
    return kind == ObjectKind::kUpstreams ? PauseAfterChanges(m_settings.pacing, m_pacingFacts())
                                          : 0;
}

void StoreController::wake() {
    for (const auto& [kind, watch] : m_watches) {
        watch->wake();
    }
}

// Logs one line for each call, since each call is billed and there are few.
void StoreController::onCall(ObjectKind kind, const StoreCall& call) {
    const std::string cause(StoreCallCauseName(call.cause));
    m_metrics.count("onyx_store_calls_total", {{"objects", ObjectsName(kind)}, {"cause", cause}});
    logEvent(Event::kStoreCall, {{"objects", ObjectsName(kind)},
                                 {"cause", cause},
                                 {"target", call.target},
                                 {"end", call.end},
                                 {"bytes", std::to_string(call.bytes)},
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
    if (update.asOf) {
        noteRevision(kind, update.revision);
    }
    switch (kind) {
        case ObjectKind::kConfiguration:
            return applyConfiguration(update);
        case ObjectKind::kUpstreams:
            return applyUpstreams(update);
        case ObjectKind::kEvacuations:
            return applyEvacuations(update);
        case ObjectKind::kRollouts:
            return applyRollouts(update);
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
            // A copy may be older than the configuration in force.
            if (!update.isCopy) {
                m_configurationState.noteUnreadable();
            }
        }
    }
    if (update.asOf) {
        m_configurationState.confirm(*update.asOf, kStoreSource, ReadClocks().mono);
    }
}

// Whether the update comes from a copy of the store and its configuration is older than this box's.
bool StoreController::isOlderCopy(const StoreUpdate& update,
                                  const StoredConfiguration& configuration) const {
    return update.isCopy && m_configurationState.catalog() &&
           configuration.parts.version < m_configurationState.version();
}

void StoreController::applyUpstreams(const StoreUpdate& update) {
    // Upstreams that came from another box may be newer than an answer that was in flight and newer
    // than any copy. A whole list from the store itself applies even if its revision is lower,
    // because that means that the store was restored. Any other whole list completes a partial one.
    const bool authoritative = update.whole && update.asOf;
    if (authoritative || update.revision >= m_upstreamList.table().revision()) {
        m_upstreamList.apply(makeUpstreamChanges(update), "store", ReadClocks().mono);
    } else if (update.whole) {
        m_upstreamList.complete(makeUpstreamChanges(update), "store", ReadClocks().mono);
    }
    if (update.asOf) {
        m_upstreamList.confirm(*update.asOf);
    }
}

// An object that cannot be read names no zone, so it leaves the current evacuations unchanged.
void StoreController::applyEvacuations(const StoreUpdate& update) {
    EvacuationChanges changes;
    changes.whole = update.whole;
    changes.revision = update.revision;
    std::map<std::string, bool> isActive;  // The last object for a zone counts.
    for (const StoredObject& object : update.objects) {
        if (const auto* error = std::get_if<Error>(&object.content)) {
            recordUnreadable("evacuation " + object.name, error->text());
        } else {
            isActive[object.name] = !object.removed;
        }
    }
    for (const auto& [zone, active] : isActive) {
        (active ? changes.begun : changes.ended).push_back(zone);
    }
    const bool authoritative = update.whole && update.asOf;
    m_evacuationList.apply(changes, authoritative, "store", ReadClocks().mono);
    if (update.asOf) {
        m_evacuationList.confirm(*update.asOf);
    }
}

// An order that cannot be read leaves the known one unchanged.
void StoreController::applyRollouts(const StoreUpdate& update) {
    RolloutChanges changes;
    changes.whole = update.whole;
    changes.revision = update.revision;
    std::map<std::string, const StoredObject*> last;  // The last object for a service counts.
    const auto& known = m_rolloutList.orders();
    for (const StoredObject& object : update.objects) {
        if (const auto* error = std::get_if<Error>(&object.content)) {
            recordUnreadable("rollout " + object.name, error->text());
            const auto order = known.find(ServiceId(object.name));
            if (update.whole && order != known.end()) {
                changes.changed.push_back(order->second);
            }
        } else {
            last[object.name] = &object;
        }
    }
    for (const auto& [service, object] : last) {
        if (const auto* order = std::get_if<RolloutOrder>(&object->content)) {
            changes.changed.push_back(*order);
        } else if (object->removed) {
            changes.removed.push_back(service);
        }
    }
    const bool authoritative = update.whole && update.asOf;
    m_rolloutList.apply(changes, authoritative, "store");
    if (update.asOf) {
        m_rolloutList.confirm(*update.asOf);
    }
}

void StoreController::recordUnreadable(const std::string& object, const std::string& why) const {
    m_metrics.count("onyx_objects_unreadable_total");
    logEvent(Event::kObjectBad, {{"object", object}, {"why", why}});
}

// If any upstream reports its start time, all do. An entry without one then comes from another
// writer. It is logged and counts as removed, since an entry that does not identify an incarnation
// must not replace one that does.
UpstreamChanges StoreController::makeUpstreamChanges(const StoreUpdate& update) const {
    UpstreamChanges changes;
    changes.whole = update.whole;
    changes.revision = update.revision;
    std::set<std::string_view> seen;
    const bool reportsStartTimes =
        AnyReportsStartTime(update) || m_upstreamList.reportsStartTimes();
    // The last entry for an object counts, because an upstream may drain and be removed within one
    // answer.
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
                recordUnreadable(object.name,
                                 "the entry has no start time although other entries have one");
                changes.removed.push_back(object.name);
            } else {
                changes.changed.push_back(*upstream);
            }
        }
    }
    return changes;
}

}  // namespace onyx
