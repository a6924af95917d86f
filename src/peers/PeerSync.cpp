#include "include/peers/PeerSync.h"

#include "include/observe/Events.h"
#include "include/peers/PeerMessages.h"

#include <algorithm>
#include <random>

namespace onyx {

namespace {

// In milliseconds. Period at which this box decides which boxes to query and whether to
// call the store. Short compared with the shortest of the times that these decisions depend on.
constexpr Millis kStepPeriod = 100;
// In milliseconds. For this long newer upstreams are fetched from boxes of the own zone only: two
// periods of a follower.
constexpr Millis kOwnZoneFirst = 700;
// A watcher that has sent this many consecutive replies without orders of a kind runs an earlier
// build. Fewer are not enough: a watcher that has just started has no list of orders yet.
constexpr int kMaxRepliesWithoutOrders = 4;

RefreshPlannerSettings PlannerSettings(const GatewaySettings& settings) {
    RefreshPlannerSettings planner;
    planner.watcherSelector = settings.watcherSelector;
    planner.storeCall = settings.storeCall;
    planner.followPeriod = settings.pacing.followPeriod;
    return planner;
}

}  // namespace

PeerSync::PeerSync(const GatewaySettings& settings, const Dialect& dialect,
                   const SyncedState& synced, StoreController& store, PeerMesh& mesh)
    : m_settings(settings),
      m_dialect(dialect),
      m_configuration(synced.configuration),
      m_upstreams(synced.upstreams),
      m_evacuations(synced.evacuations),
      m_rollouts(synced.rollouts),
      m_store(store),
      m_mesh(mesh),
      m_refreshPlanner(PlannerSettings(settings), ReadClocks().mono, std::random_device{}()),
      m_firstList(std::random_device{}()) {}

Task<> PeerSync::run() {
    while (true) {
        step(ReadClocks().mono);
        co_await SleepFor(std::min(kStepPeriod, m_settings.pacing.followPeriod));
    }
}

bool PeerSync::leavesListToPeers() {
    m_waitedForList = m_firstList.leavesRestToPeers(isSeed(), ReadClocks().mono);
    return m_waitedForList;
}

bool PeerSync::waitsForList(MonoTime now) const {
    return m_firstList.isWaiting(m_mesh.links(), m_upstreams.hasList(), now);
}

// With a list, its changes are watched or followed as usual; without one it is read after all, and
// once more if that fails.
void PeerSync::endWaitForList(MonoTime now) {
    const bool lacksRest = m_upstreams.isPartial() && !m_firstList.isReadingOn(false, now);
    if (waitsForList(now) || (!m_waitedForList && !lacksRest)) {
        return;
    }
    m_waitedForList = false;
    if (m_upstreams.hasList()) {
        m_store.wake();
    } else {
        m_store.readCopySoon(ObjectKind::kUpstreams);
    }
}

void PeerSync::step(MonoTime now) {
    endWaitForList(now);
    const std::vector<std::string> zone = m_mesh.zoneOrder();
    const std::vector<std::string> linked = m_mesh.linkedAddresses();
    RefreshInputs inputs{zone, m_mesh.address(), linked};
    inputs.boxes = m_mesh.boxesKnown();
    inputs.isSeed = isSeed();
    inputs.idle = isIdle();
    inputs.age = ages(now).older();
    inputs.overdue = isOverdue(now);
    const RefreshPlan step = m_refreshPlanner.step(inputs, now);
    m_watcher = step.watcher;
    m_mesh.keepLinked(step.keepLinked);
    updateStoreCall(step.storeCall, now);
    if (step.queriesWatcher) {
        queryWatcher(now);
    }
    if (step.queriesPeers) {
        queryPeers(now);
    }
}

bool PeerSync::isIdle() const {
    const bool empty = m_upstreams.table().all().empty() || !m_configuration.catalog();
    return m_upstreams.hasList() && empty;
}

// A box without seeds has no box to query when it starts, so it counts as a seed.
bool PeerSync::isSeed() const {
    const auto isSelf = [this](const Endpoint& seed) {
        return EndpointText(seed) == m_mesh.address();
    };
    const std::vector<Endpoint>& seeds = m_settings.seeds;
    return seeds.empty() || std::any_of(seeds.begin(), seeds.end(), isSelf);
}

void PeerSync::updateStoreCall(StoreCallDecision storeCall, MonoTime now) {
    if (storeCall == m_storeCall) {
        return;
    }
    const auto age = ages(now).older();
    logEvent(Event::kFollowing, {{"following", storeCall.calls ? "no" : "yes"},
                                 {"why", std::string(StoreCallReasonName(storeCall.reason))},
                                 {"watcher", m_watcher},
                                 {"knowledge_age_ms", age ? std::to_string(*age) : "none"}});
    m_storeCall = storeCall;
    if (storeCall.calls) {
        m_store.wake();
    }
}

bool PeerSync::mayCallStore(ObjectKind kind) {
    const MonoTime now = ReadClocks().mono;
    // While the box waits for a list, it has only the changes of a partial one to read.
    if (kind == ObjectKind::kUpstreams && waitsForList(now) && !m_upstreams.isPartial()) {
        return false;
    }
    const auto missing = m_repliesWithoutOrders.find(kind);
    return (missing != m_repliesWithoutOrders.end() &&
            missing->second >= kMaxRepliesWithoutOrders) ||
           m_refreshPlanner.mayCall(ages(now).older(), now);
}

bool PeerSync::watchesForOthers() const {
    return m_refreshPlanner.watchesForOthers(ReadClocks().mono);
}

// A box that has just started has no data yet, and the first box that it links to may have all of
// it.
void PeerSync::onLinked(const std::string& address) {
    const MonoTime now = ReadClocks().mono;
    if (!ages(now).older()) {
        m_mesh.send(address, makeQuery(m_peerQueries.ask(now)));
    }
}

StateAges PeerSync::ages(MonoTime now) const {
    return {m_configuration.age(now), m_upstreams.age(now)};
}

// Does not ask for upstream changes. They are requested from one box at a time, either the watcher
// or a box with a newer revision, because the eight boxes that are asked for their ages would all
// send the same changes.
wire::KnowledgeAskT PeerSync::makeQuery(uint64_t round) const {
    wire::KnowledgeAskT ask;
    ask.round = round;
    ask.have = m_configuration.version();
    ask.upstreams_revision = m_upstreams.table().revision();
    ask.no_content = true;
    return ask;
}

void PeerSync::queryWatcher(MonoTime now) {
    wire::KnowledgeAskT ask = makeQuery(m_peerQueries.ask(now));
    ask.follows = true;
    ask.want_upstreams = m_upstreams.hasList() || m_upstreams.isPartial();
    m_mesh.send(m_watcher, ask);
}

void PeerSync::queryPeers(MonoTime now) {
    const wire::KnowledgeAskT ask = makeQuery(m_peerQueries.ask(now));
    for (const std::string& address : m_peerQueries.nextPeers(m_mesh.linkedAddresses())) {
        m_mesh.send(address, ask);
    }
}

void PeerSync::onKnowledgeQuery(const std::string& from, const wire::KnowledgeAskT& ask) {
    const MonoTime now = ReadClocks().mono;
    m_configuration.noteVersion(ask.have);
    if (ask.follows) {
        m_refreshPlanner.noteFollowerQuery(now);
    }
    wire::KnowledgeReplyT reply;
    reply.round = ask.round;
    reply.watches = m_storeCall.calls;
    reply.age_ms = m_configuration.age(now).value_or(-1);
    reply.revision = m_configuration.version();
    if (m_upstreams.hasChangesSince(ask.upstreams_revision)) {
        reply.upstreams_age_ms = m_upstreams.age(now).value_or(-1);
        reply.upstreams_revision = m_upstreams.table().revision();
        reply.upstreams_partial = m_upstreams.isPartial();
    }
    if (!ask.no_content && reply.revision > ask.have) {
        reply.content = m_configuration.text();
    }
    const bool sendsUpstreams = ask.want_upstreams &&
                                reply.upstreams_revision > ask.upstreams_revision &&
                                (ask.upstreams_revision > 0 || m_listSendLimit.tryTake(now));
    if (sendsUpstreams) {
        AddUpstreamChanges(m_upstreams.table(), ask, reply);
        for (const auto& entry : reply.upstreams) {
            entry->cold_ms = static_cast<uint32_t>(m_upstreams.coldLeft(entry->id, now));
        }
    }
    addEvacuations(reply, now);
    m_rollouts.addTo(reply, now);
    m_mesh.send(from, std::move(reply));
}

void PeerSync::addEvacuations(wire::KnowledgeReplyT& reply, MonoTime now) const {
    const auto age = m_evacuations.age(now);
    if (!age) {
        return;
    }
    const ZoneEvacuations& orders = m_evacuations.orders();
    reply.tells_evacuations = true;
    reply.evacuations_age_ms = *age;
    reply.evacuations_revision = orders.revision();
    reply.evacuated.assign(orders.zones().begin(), orders.zones().end());
}

// If the watcher runs an earlier build that does not send orders of this kind, this box reads them
// from the store.
void PeerSync::countMissingOrders(ObjectKind kind, bool told, const std::string& from,
                                  const wire::KnowledgeReplyT& reply) {
    if (from != m_watcher) {
        return;
    }
    int& missing = m_repliesWithoutOrders[kind];
    missing = !told && reply.watches ? missing + 1 : 0;
    if (missing == kMaxRepliesWithoutOrders) {
        m_store.wake();
    }
}

std::vector<std::string> PeerSync::judgingPeers() const {
    if (!m_storeCall.calls) {
        return m_watcher.empty() ? std::vector<std::string>() : std::vector{m_watcher};
    }
    return m_refreshPlanner.isInSmallZone() ? m_mesh.linkedAddresses() : std::vector<std::string>();
}

void PeerSync::applyEvacuations(const std::string& from, const wire::KnowledgeReplyT& reply) {
    if (m_settings.evacuationBound > 0) {
        countMissingOrders(ObjectKind::kEvacuations, reply.tells_evacuations, from, reply);
    }
    if (!reply.tells_evacuations) {
        return;
    }
    const EvacuationChanges orders{true, reply.evacuations_revision, reply.evacuated, {}};
    const bool isBehind = orders.revision < m_evacuations.orders().revision();
    m_evacuations.apply(orders, false, "peer", ReadClocks().mono);
    const auto asOf = m_peerQueries.stateAsOf(reply.round, reply.evacuations_age_ms);
    if (asOf && !isBehind) {
        m_evacuations.confirm(*asOf);
    }
}

void PeerSync::onKnowledgeReply(const std::string& from, const wire::KnowledgeReplyT& reply) {
    m_configuration.noteVersion(reply.revision);
    const bool requestedChanges = m_peerQueries.endFetch(reply.round) || from == m_watcher;
    applyEvacuations(from, reply);
    if (m_settings.rollout.exposureLimit > 0) {
        countMissingOrders(ObjectKind::kRollouts, reply.tells_rollouts, from, reply);
        m_rollouts.applyReply(reply, m_peerQueries.stateAsOf(reply.round, reply.rollouts_age_ms),
                              from == m_watcher, ReadClocks().mono);
    }
    const auto asOf = m_peerQueries.stateAsOf(reply.round, reply.age_ms);
    if (asOf) {
        apply({from, reply.content, reply.revision, *asOf, ReadUpstreamChanges(reply),
               reply.upstreams_revision,
               m_peerQueries.stateAsOf(reply.round, reply.upstreams_age_ms)});
    }
    const MonoTime now = ReadClocks().mono;
    std::optional<Millis> peerAge;
    if (reply.age_ms >= 0 && reply.upstreams_age_ms >= 0) {
        peerAge = std::max(reply.age_ms, reply.upstreams_age_ms);
    }
    m_refreshPlanner.noteReply(from, peerAge, ages(now).older(), now);
    if (!m_storeCall.calls || isOverdue(now) || waitsForList(now)) {
        if (!reply.upstreams_partial || m_upstreams.hasList()) {
            catchUpUpstreams(from, reply.upstreams_revision, requestedChanges);
        }
        catchUpConfiguration(from, reply.revision);
    }
}

// The age of another box's configuration is valid here only if this box has the same version or a
// newer one.
void PeerSync::apply(const PeerUpdate& update) {
    if (!update.configuration.empty()) {
        const auto read = m_dialect.readConfiguration(update.configuration);
        logEvent(Event::kConfigFromPeer, {{"revision", std::to_string(update.version)}});
        if (read.has_value()) {
            m_configuration.apply(read.value());
        } else {
            m_configuration.reject(read.error());
        }
    }
    if (m_configuration.catalog() && m_configuration.version() >= update.version) {
        m_configuration.confirm(update.configurationAsOf, update.from, ReadClocks().mono);
    }
    // Changes from a box with an older revision than this box's are ignored.
    const UpstreamTable& table = m_upstreams.table();
    if (update.upstreams && update.upstreams->revision >= table.revision()) {
        m_upstreams.apply(*update.upstreams, "peer", ReadClocks().mono);
    } else if (update.upstreams) {
        m_upstreams.complete(*update.upstreams, "peer", ReadClocks().mono);
    }
    if (update.upstreamsAsOf && table.revision() >= update.upstreamsRevision) {
        m_upstreams.confirm(*update.upstreamsAsOf);
    }
}

// Whether newer upstreams of the box at `from` may be fetched from it. Boxes of the own zone come
// first, because bytes between zones are dear: another zone's box is asked only if no box of the
// own zone has had them for a while.
bool PeerSync::mayFetchUpstreams(const std::string& from, MonoTime now) {
    const uint64_t revision = m_upstreams.table().revision();
    if (!m_newerUpstreams || m_newerUpstreams->than != revision) {
        m_newerUpstreams = NewerUpstreams{revision, now};
    }
    return m_mesh.isLinkedInZone(from) || now - m_newerUpstreams->since >= kOwnZoneFirst;
}

// Gets newer upstreams that the other box has but did not include in its reply. Changes are fetched
// from that box. A whole list is read from a copy of the store, which is near and saves the other
// box's bandwidth, and fetched from the box if the copy does not have it yet. A box that has just
// started does as FirstListPolicy says.
void PeerSync::catchUpUpstreams(const std::string& from, uint64_t revision, bool requestedChanges) {
    const MonoTime now = ReadClocks().mono;
    const bool isBehind =
        m_upstreams.hasList() ? revision > m_upstreams.table().revision() : revision > 0;
    if (!isBehind || m_firstList.isReadingOn(m_upstreams.hasList(), now)) {
        return;
    }
    if (waitsForList(now)) {
        if (m_mesh.isLinkedInZone(from)) {
            fetch(from, false);
        }
    } else if (!requestedChanges && m_upstreams.hasList()) {
        if (mayFetchUpstreams(from, now)) {
            fetch(from, true);
        }
    } else if (revision > m_copyRead.upstreams) {
        m_copyRead.upstreams = revision;
        m_store.readCopySoon(ObjectKind::kUpstreams);
    } else {
        fetch(from, false);
    }
}

// The same for the configuration.
void PeerSync::catchUpConfiguration(const std::string& from, uint64_t version) {
    if (version <= m_configuration.version()) {
        return;
    }
    if (version > m_copyRead.configuration) {
        m_copyRead.configuration = version;
        m_store.readCopySoon(ObjectKind::kConfiguration);
    } else {
        fetch(from, false);
    }
}

// `changesOnly`: the reply is to contain upstream changes only, neither the text of the
// configuration nor a whole upstream list.
void PeerSync::fetch(const std::string& from, bool changesOnly) {
    const Millis timeout =
        changesOnly ? PeerQueries::kFetchTimeoutMs : PeerQueries::kListFetchTimeoutMs;
    const auto round = m_peerQueries.startFetch(ReadClocks().mono, timeout);
    if (!round) {
        return;
    }
    wire::KnowledgeAskT ask = makeQuery(*round);
    ask.no_content = changesOnly;
    ask.want_upstreams = true;
    if (!changesOnly && m_upstreams.isPartial()) {
        ask.upstreams_revision = 0;
    }
    m_mesh.send(from, ask);
}

}  // namespace onyx
