#include "include/gateway/KnowledgeExchange.h"

#include "include/observe/Events.h"

#include <algorithm>

namespace onyx {

namespace {

// A box that has just started knows its zone's boxes after so long: two periods of dialing.
constexpr Millis kMeetTime = 1000;
constexpr Millis kFollowerGone = 3000;  // A follower that did not ask for this long is none.

std::unique_ptr<wire::UpstreamEntryT> EntryOf(const Upstream& upstream) {
    auto entry = std::make_unique<wire::UpstreamEntryT>();
    entry->id = upstream.id;
    entry->service = upstream.service.value;
    entry->address = upstream.address;
    entry->zone = upstream.zone.value;
    entry->leaving = upstream.leaving;
    entry->slots = upstream.slots;
    return entry;
}

Upstream UpstreamOf(const wire::UpstreamEntryT& entry) {
    return {entry.id,   ServiceId(entry.service), entry.address, ZoneId(entry.zone), entry.leaving,
            entry.slots};
}

std::optional<UpstreamChanges> ChangesOf(const wire::KnowledgeReplyT& reply) {
    if (!reply.upstreams_told) {
        return std::nullopt;
    }
    UpstreamChanges changes;
    changes.whole = reply.upstreams_whole;
    changes.revision = reply.upstreams_revision;
    changes.removed = reply.removed;
    for (const auto& entry : reply.upstreams) {
        if (entry && !entry->id.empty()) {
            changes.changed.push_back(UpstreamOf(*entry));
        }
    }
    return changes;
}

// A whole list is told only to boxes that cannot ask the store for it.
void TellUpstreams(const UpstreamTable& table, const wire::KnowledgeAskT& ask,
                   wire::KnowledgeReplyT& reply) {
    const UpstreamChanges changes = table.changesSince(ask.upstreams_revision);
    if (changes.whole && ask.follows) {
        return;
    }
    reply.upstreams_told = true;
    reply.upstreams_whole = changes.whole;
    for (const Upstream& upstream : changes.changed) {
        reply.upstreams.push_back(EntryOf(upstream));
    }
    reply.removed = changes.removed;
}

}  // namespace

KnowledgeExchange::KnowledgeExchange(GatewayState& state, PeerMesh& mesh, Sink sink)
    : m_state(state),
      m_mesh(mesh),
      m_sink(std::move(sink)),
      m_delegation(state.settings.delegation) {}

Task<> KnowledgeExchange::run() {
    while (true) {
        look();
        co_await SleepFor(m_state.settings.pacing.followPeriod);
    }
}

void KnowledgeExchange::look() {
    const MonoTime now = ReadClocks().mono;
    m_delegation.noteAge(ageOfAll(now), now);
    const std::vector<std::string> order = m_mesh.zoneOrder();
    const auto linked = [this](const std::string& address) { return m_mesh.isLinked(address); };
    m_watcher = m_delegation.choose(order, m_mesh.address(), linked, now);
    m_mesh.keepLinked(m_delegation.preferred(order, m_mesh.address(), now));
    tellFollowing();
    if (!m_watcher.empty()) {
        askWatcher(m_watcher);
    }
    if (!m_delegation.following() && isOld(now) && now - m_lastAsk >= kAskPeriod) {
        askOthers(now);
    }
}

void KnowledgeExchange::tellFollowing() {
    const bool following = m_delegation.following();
    if (following == m_toldFollowing) {
        return;
    }
    m_toldFollowing = following;
    const auto age = ageOfAll(ReadClocks().mono);
    logEvent(Event::kFollowing, {{"following", following ? "yes" : "no"},
                                 {"watcher", m_watcher},
                                 {"knowledge_age_ms", age ? std::to_string(*age) : "none"}});
    m_sink.onFollowing(following);
}

uint64_t KnowledgeExchange::revision() const {
    return m_state.catalog ? m_state.catalog->version() : 0;
}

std::optional<Millis> KnowledgeExchange::ageOfAll(MonoTime now) const {
    return m_state.ages(now).older();
}

bool KnowledgeExchange::isOld(MonoTime now) const {
    return IsOverdue(m_state.settings.pacing, m_state.ages(now));
}

wire::KnowledgeAskT KnowledgeExchange::questionOf(uint64_t round) const {
    wire::KnowledgeAskT ask;
    ask.round = round;
    ask.have = revision();
    ask.upstreams_revision = m_state.upstreams.revision();
    ask.no_content = true;
    return ask;
}

void KnowledgeExchange::askWatcher(const std::string& watcher) {
    wire::KnowledgeAskT ask = questionOf(m_knowledge.ask(ReadClocks().mono));
    ask.follows = true;
    ask.want_upstreams = true;
    m_mesh.send(watcher, ask);
}

void KnowledgeExchange::askOthers(MonoTime now) {
    m_lastAsk = now;
    const wire::KnowledgeAskT ask = questionOf(m_knowledge.ask(now));
    for (const std::string& address : m_knowledge.nextAsked(m_mesh.linked())) {
        m_mesh.send(address, ask);
    }
}

void KnowledgeExchange::onAsk(const std::string& from, const wire::KnowledgeAskT& ask) {
    const MonoTime now = ReadClocks().mono;
    if (ask.follows) {
        m_followedAt = now;
    }
    wire::KnowledgeReplyT reply;
    reply.round = ask.round;
    reply.watches = !m_delegation.following();
    reply.age_ms = m_state.keysKnown.age(now).value_or(-1);
    reply.revision = revision();
    reply.upstreams_age_ms = m_state.upstreamsKnown.age(now).value_or(-1);
    reply.upstreams_revision = m_state.upstreams.revision();
    if (!ask.no_content && reply.revision > ask.have) {
        reply.content = m_state.catalogContent;
    }
    if (ask.want_upstreams && reply.upstreams_revision > ask.upstreams_revision) {
        TellUpstreams(m_state.upstreams, ask, reply);
    }
    m_mesh.send(from, std::move(reply));
}

void KnowledgeExchange::onReply(const std::string& from, const wire::KnowledgeReplyT& reply) {
    const auto asOf = m_knowledge.answered(reply.round, reply.age_ms);
    m_knowledge.endFetch(reply.round);
    if (!asOf) {
        return;
    }
    const PeerNews news{reply.content,
                        reply.revision,
                        *asOf,
                        ChangesOf(reply),
                        reply.upstreams_revision,
                        m_knowledge.answered(reply.round, reply.upstreams_age_ms)};
    m_sink.onNews(news);
    if (from == m_watcher) {
        takeWatcherReply(from, reply, news);
    } else if (isOld(ReadClocks().mono)) {
        fetchNewer(from, reply);
    }
}

void KnowledgeExchange::takeWatcherReply(const std::string& from,
                                         const wire::KnowledgeReplyT& reply, const PeerNews& news) {
    const MonoTime now = ReadClocks().mono;
    WatcherReply told{reply.watches, std::nullopt};
    if (news.upstreamsAsOf) {
        told.age = now - std::min(news.asOf, *news.upstreamsAsOf);
    }
    m_delegation.replied(from, told, now);
    tellFollowing();
    if (!m_delegation.following()) {
        return;
    }
    if (!m_state.storeAnswers()) {
        fetchNewer(from, reply);
        return;
    }
    if (reply.revision > revision()) {
        m_sink.onBehind(ObjectKind::kConfiguration);
    }
    if (reply.upstreams_revision > m_state.upstreams.revision()) {
        m_sink.onBehind(ObjectKind::kUpstreams);
    }
}

// Where the store does not answer this box, what is newer has to come from another one.
void KnowledgeExchange::fetchNewer(const std::string& from, const wire::KnowledgeReplyT& reply) {
    const bool newer =
        reply.revision > revision() || reply.upstreams_revision > m_state.upstreams.revision();
    if (!newer) {
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

bool KnowledgeExchange::inSmallZone() const {
    const bool metOthers = ReadClocks().mono - m_state.started >= kMeetTime;
    return metOthers && m_mesh.zoneOrder().size() < m_state.settings.delegation.leastBoxes;
}

bool KnowledgeExchange::watchesForOthers() const {
    return m_delegation.isWatcher() || isFollowed();
}

bool KnowledgeExchange::isFollowed() const {
    return m_followedAt && ReadClocks().mono - *m_followedAt <= kFollowerGone;
}

}  // namespace onyx
