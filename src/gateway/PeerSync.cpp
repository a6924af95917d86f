#include "include/gateway/PeerSync.h"

#include "include/gateway/PeerMessages.h"
#include "include/observe/Events.h"

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds. A box that has just started knows its zone's boxes after so long: two periods of
// dialing.
constexpr Millis kDiscoveryTime = 1000;
// In milliseconds. A follower that did not ask for this long is gone: some ten of its periods.
constexpr Millis kFollowerTimeout = 3000;

}  // namespace

PeerSync::PeerSync(const GatewaySettings& settings, const Dialect& dialect,
                   ConfigurationState& configuration, UpstreamList& upstreams,
                   StoreController& store, PeerMesh& mesh)
    : m_settings(settings),
      m_dialect(dialect),
      m_configuration(configuration),
      m_upstreams(upstreams),
      m_store(store),
      m_mesh(mesh),
      m_delegation(settings.delegation),
      m_started(ReadClocks().mono) {}

Task<> PeerSync::run() {
    while (true) {
        const MonoTime now = ReadClocks().mono;
        chooseWatcher(now);
        if (!m_watcher.empty()) {
            askWatcher();
        }
        if (!following() && isOverdue(now) && now - m_lastAsk >= kAskPeriod) {
            askOthers(now);
        }
        co_await SleepFor(m_settings.pacing.followPeriod);
    }
}

void PeerSync::chooseWatcher(MonoTime now) {
    m_delegation.noteAge(ages(now).older(), now);
    const std::vector<std::string> order = m_mesh.zoneOrder();
    const auto linked = [this](const std::string& address) { return m_mesh.isLinked(address); };
    m_watcher = m_delegation.choose(order, m_mesh.address(), linked, now);
    m_mesh.keepLinked(m_delegation.preferred(order, m_mesh.address(), now));
    announceFollowing();
}

void PeerSync::announceFollowing() {
    if (following() == m_announcedFollowing) {
        return;
    }
    m_announcedFollowing = following();
    const auto age = ages(ReadClocks().mono).older();
    logEvent(Event::kFollowing, {{"following", following() ? "yes" : "no"},
                                 {"watcher", m_watcher},
                                 {"knowledge_age_ms", age ? std::to_string(*age) : "none"}});
    m_store.setFollowing(following());
}

KnownAges PeerSync::ages(MonoTime now) const {
    return {m_configuration.age(now), m_upstreams.age(now)};
}

wire::KnowledgeAskT PeerSync::questionOf(uint64_t round) const {
    wire::KnowledgeAskT ask;
    ask.round = round;
    ask.have = m_configuration.version();
    ask.upstreams_revision = m_upstreams.table().revision();
    ask.no_content = true;
    return ask;
}

void PeerSync::askWatcher() {
    wire::KnowledgeAskT ask = questionOf(m_knowledge.ask(ReadClocks().mono));
    ask.follows = true;
    ask.want_upstreams = true;
    m_mesh.send(m_watcher, ask);
}

void PeerSync::askOthers(MonoTime now) {
    m_lastAsk = now;
    const wire::KnowledgeAskT ask = questionOf(m_knowledge.ask(now));
    for (const std::string& address : m_knowledge.nextAsked(m_mesh.linked())) {
        m_mesh.send(address, ask);
    }
}

void PeerSync::onAsk(const std::string& from, const wire::KnowledgeAskT& ask) {
    const MonoTime now = ReadClocks().mono;
    if (ask.follows) {
        m_followedAt = now;
    }
    wire::KnowledgeReplyT reply;
    reply.round = ask.round;
    reply.watches = !following();
    reply.age_ms = m_configuration.age(now).value_or(-1);
    reply.revision = m_configuration.version();
    reply.upstreams_age_ms = m_upstreams.age(now).value_or(-1);
    reply.upstreams_revision = m_upstreams.table().revision();
    if (!ask.no_content && reply.revision > ask.have) {
        reply.content = m_configuration.text();
    }
    if (ask.want_upstreams && reply.upstreams_revision > ask.upstreams_revision) {
        AddUpstreams(m_upstreams.table(), ask, reply);
    }
    m_mesh.send(from, std::move(reply));
}

void PeerSync::onReply(const std::string& from, const wire::KnowledgeReplyT& reply) {
    const auto asOf = m_knowledge.answered(reply.round, reply.age_ms);
    m_knowledge.endFetch(reply.round);
    if (!asOf) {
        return;
    }
    const PeerUpdate update{reply.content,
                            reply.revision,
                            *asOf,
                            ChangesOf(reply),
                            reply.upstreams_revision,
                            m_knowledge.answered(reply.round, reply.upstreams_age_ms)};
    apply(update);
    if (from == m_watcher) {
        takeWatcherReply(from, reply, update);
    } else if (isOverdue(ReadClocks().mono)) {
        fetchNewer(from, reply);
    }
}

// How old another box's configuration is counts only for a box that has the same one, or a newer.
void PeerSync::apply(const PeerUpdate& update) {
    if (!update.configuration.empty()) {
        const auto read = m_dialect.readConfiguration(update.configuration);
        logEvent(Event::kConfigFromPeer, {{"revision", std::to_string(update.version)}});
        if (read.has_value()) {
            m_configuration.take(read.value());
        } else {
            m_configuration.reject(read.error());
        }
    }
    if (m_configuration.catalog() && m_configuration.version() >= update.version) {
        m_configuration.confirm(update.configurationAsOf);
    }
    // A box that knows less than this one changes nothing.
    const UpstreamTable& table = m_upstreams.table();
    if (update.upstreams && update.upstreams->revision >= table.revision()) {
        m_upstreams.apply(*update.upstreams, "peer", ReadClocks().mono);
    }
    if (update.upstreamsAsOf && table.revision() >= update.upstreamsRevision) {
        m_upstreams.confirm(*update.upstreamsAsOf);
    }
}

void PeerSync::takeWatcherReply(const std::string& from, const wire::KnowledgeReplyT& reply,
                                const PeerUpdate& update) {
    const MonoTime now = ReadClocks().mono;
    WatcherReply watcher{reply.watches, std::nullopt};
    if (update.upstreamsAsOf) {
        watcher.age = now - std::min(update.configurationAsOf, *update.upstreamsAsOf);
    }
    m_delegation.replied(from, watcher, now);
    announceFollowing();
    if (!following()) {
        return;
    }
    if (!m_store.answers()) {
        fetchNewer(from, reply);
        return;
    }
    if (reply.revision > m_configuration.version()) {
        m_store.refresh(ObjectKind::kConfiguration);
    }
    if (reply.upstreams_revision > m_upstreams.table().revision()) {
        m_store.refresh(ObjectKind::kUpstreams);
    }
}

bool PeerSync::hasNewer(const wire::KnowledgeReplyT& reply) const {
    return reply.revision > m_configuration.version() ||
           reply.upstreams_revision > m_upstreams.table().revision();
}

// Where the store does not answer this box, what is newer has to come from another one.
void PeerSync::fetchNewer(const std::string& from, const wire::KnowledgeReplyT& reply) {
    if (!hasNewer(reply)) {
        return;
    }
    const auto round = m_knowledge.startFetch(ReadClocks().mono);
    if (!round) {
        return;
    }
    wire::KnowledgeAskT ask = questionOf(*round);
    ask.no_content = false;
    ask.want_upstreams = true;
    m_mesh.send(from, ask);
}

bool PeerSync::inSmallZone() const {
    const bool discovered = ReadClocks().mono - m_started >= kDiscoveryTime;
    return discovered && m_mesh.zoneOrder().size() < m_settings.delegation.minBoxes;
}

bool PeerSync::isFollowed() const {
    return m_followedAt && ReadClocks().mono - *m_followedAt <= kFollowerTimeout;
}

}  // namespace onyx
