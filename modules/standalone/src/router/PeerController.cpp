#include "modules/standalone/include/router/PeerController.h"

#include "include/base/Hash.h"
#include "include/membership/DigestPeriod.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/membership/DigestTargets.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kDialPeriod = 300;
constexpr Millis kCheckPeriod = 100;
constexpr Millis kWrongPeerPause = 10000;  // Before an address that is no peer's is tried again.
constexpr Millis kConfigAskPeriod = 300;
constexpr Millis kConfigPatience = 1200;

// Passes the messages of a run into a channel of this box.
RunSink ChannelSink(std::weak_ptr<RunChannel> weak) {
    return [weak = std::move(weak)](wire::BodyUnion body) {
        const auto channel = weak.lock();
        if (!channel) {
            return;
        }
        if (auto* verdict = body.AsRunVerdict()) {
            channel->post(std::move(*verdict));
        } else if (auto* chunk = body.AsRunChunk()) {
            channel->post(std::move(*chunk));
        } else if (auto* end = body.AsRunEnd()) {
            channel->post(std::move(*end));
        }
    };
}

}  // namespace

PeerController::PeerController(RouterContext& context, PeerTable& table, HomeController& home)
    : m_context(context), m_table(table), m_home(home) {}

void PeerController::start() {
    for (const Endpoint& seed : m_context.settings.seeds) {
        m_dialed[EndpointText(seed)].address = EndpointText(seed);
    }
    Spawn(m_context.executor, dialLoop());
    Spawn(m_context.executor, digestLoop());
}

wire::HelloT PeerController::hello() const {
    wire::HelloT hello;
    hello.box = m_context.self.value;
    hello.zone = m_context.settings.zone;
    hello.site = m_context.settings.site;
    hello.address = m_context.settings.advertised;
    hello.role = wire::LinkRole::Router;
    return hello;
}

void PeerController::setListed(std::map<std::string, std::string> addresses) {
    for (const auto& [address, name] : addresses) {
        m_dialed[address].address = address;
    }
    std::erase_if(m_dialed, [&](const auto& entry) {
        const bool linked = entry.second.link != nullptr || entry.second.dialing;
        const auto& seeds = m_context.settings.seeds;
        const bool seed = std::any_of(seeds.begin(), seeds.end(), [&](const Endpoint& endpoint) {
            return EndpointText(endpoint) == entry.first;
        });
        return !addresses.contains(entry.first) && !linked && !seed;
    });
}

Task<> PeerController::dialLoop() {
    while (true) {
        for (auto& [address, dialed] : m_dialed) {
            if (!dialed.link && !dialed.dialing && address != m_context.settings.advertised) {
                dialed.dialing = true;
                Spawn(m_context.executor, dial(address));
            }
        }
        co_await SleepFor(kDialPeriod);
    }
}

Task<> PeerController::dial(std::string address) {
    const auto endpoint = ParseEndpoint(address);
    if (endpoint.has_error()) {
        m_dialed[address].dialing = false;
        co_return;
    }
    auto connected = co_await FrameLink::Connect(endpoint.value(), hello());
    if (connected.has_error()) {
        m_dialed[address].dialing = false;
        co_return;
    }
    const std::shared_ptr<FrameLink> link = connected.value();
    const MemberId member(link->peer().box);
    if (member == m_context.self || !sameSite(*link)) {
        link->close();
        co_await SleepFor(kWrongPeerPause);
        m_dialed[address].dialing = false;
        co_return;
    }
    m_dialed[address].dialing = false;
    m_dialed[address].link = link;
    m_links[member] = link;
    m_table.greeted({member, ZoneId(link->peer().zone), address}, ReadClocks().mono);
    logEvent(Event::kPeerUp, {{"peer", member.value}, {"address", address}});
    link->start([this, link](FrameLink&, wire::BodyUnion& body) { onFrame(link, body); },
                [this, address, member](FrameLink&) { closed(address, member); });
    link->send(digest());
    checkHomes();
}

// An address that was reused may lead to a box of another site: it must not become a peer.
bool PeerController::sameSite(const FrameLink& link) const {
    const bool same = link.peer().site == m_context.settings.site;
    if (!same) {
        logEvent(Event::kPeerSite, {{"peer", link.peer().box}, {"site", link.peer().site}});
    }
    return same;
}

void PeerController::accepted(std::shared_ptr<FrameLink> link) {
    if (link->peer().role == wire::LinkRole::Router && !sameSite(*link)) {
        link->close();
        return;
    }
    const MemberId member(link->peer().box);
    link->start([this, link](FrameLink&, wire::BodyUnion& body) { onFrame(link, body); },
                [this, member](FrameLink&) { m_home.cancelAll(member); });
    link->send(digest());
}

void PeerController::closed(const std::string& address, const MemberId& member) {
    logEvent(Event::kPeerDown, {{"peer", member.value}, {"address", address}});
    m_dialed[address].link.reset();
    m_links.erase(member);
    m_table.lost(member);
    // What was running there is not known any more; the requests' tasks decide what to do.
    std::vector<std::shared_ptr<RunChannel>> lost;
    for (const auto& [id, run] : m_runs) {
        if (run.home == member) {
            lost.push_back(run.channel);
        }
    }
    for (const auto& channel : lost) {
        channel->post(HopLost{});
    }
    checkHomes();
}

void PeerController::checkHomes() {
    const uint64_t version = m_table.version(ReadClocks().mono);
    if (version != m_homesVersion) {
        m_homesVersion = version;
        m_home.refreshHomes();
    }
}

wire::DigestT PeerController::digest() {
    wire::DigestT digest;
    digest.sequence = ++m_digestSequence;
    digest.config_revision = m_context.config.revision();
    digest.draining = m_context.draining;
    digest.roster_epoch = m_rosterEpoch;
    digest.generation = m_generation;
    for (const EngineLoad& load : m_home.loads()) {
        digest.loads.emplace_back(static_cast<uint32_t>(HashText(load.engine.value)),
                                  static_cast<uint16_t>(std::min(load.load, 65535)), load.full);
    }
    return digest;
}

void PeerController::sendDigest(FrameLink& link, Millis next) {
    wire::DigestT message = digest();
    message.next_ms = static_cast<uint32_t>(next);
    std::string frame = EncodeMessage(std::move(message));
    m_controlBytes += frame.size();
    link.sendEncoded(std::move(frame));
}

void PeerController::sendDigestToAll() {
    for (const auto& [member, link] : m_links) {
        sendDigest(*link, 0);
    }
}

std::set<MemberId> PeerController::digestTargets() const {
    std::vector<MemberId> members;
    members.reserve(m_links.size());
    for (const auto& [member, link] : m_links) {
        members.push_back(member);
    }
    std::set<MemberId> targets;
    const auto most = static_cast<size_t>(m_context.settings.digestPeers);
    for (const size_t i : DigestTargets(m_context.self, members, most)) {
        targets.insert(members[i]);
    }
    for (const MemberId& member : m_digestAlways) {
        if (m_links.contains(member)) {
            targets.insert(member);
        }
    }
    return targets;
}

Task<> PeerController::digestLoop() {
    Millis sinceDigest = 0;
    while (true) {
        co_await SleepFor(kCheckPeriod);
        sinceDigest += kCheckPeriod;
        checkHomes();
        const std::set<MemberId> targets = digestTargets();
        const size_t bytes = EncodeMessage(digest()).size();
        const Millis period = DigestPeriod(m_context.settings.digestPeriod, targets.size(), bytes,
                                           m_context.settings.digestBudget);
        if (sinceDigest < period) {
            continue;
        }
        sinceDigest = 0;
        for (const MemberId& member : m_digestTargets) {
            const auto link = m_links.find(member);
            if (!targets.contains(member) && link != m_links.end()) {
                sendDigest(*link->second, 0);  // The last one: nothing more is promised.
            }
        }
        m_digestTargets = targets;
        for (const MemberId& member : targets) {
            sendDigest(*m_links.at(member), period + kCheckPeriod);
        }
    }
}

void PeerController::suspect(const MemberId& member) {
    m_table.suspect(member);
    checkHomes();
}

void PeerController::onFrame(const std::shared_ptr<FrameLink>& link, wire::BodyUnion& body) {
    const MemberId member(link->peer().box);
    if (onRunMessage(body)) {
        return;
    }
    if (auto* request = body.AsRunRequest()) {
        onRunRequest(link, std::move(*request));
    } else if (const auto* cancel = body.AsRunCancel()) {
        m_home.cancel(member, cancel->id);
    } else if (const auto* note = body.AsChatNote()) {
        m_home.note(*note);
    } else if (const auto* digest = body.AsDigest()) {
        onDigest(member, *digest);
    } else if (const auto* ask = body.AsConfigAsk()) {
        if (m_context.config.revision() > ask->have) {
            link->send(m_context.config.answerTo(*ask));
        }
    } else if (const auto* snapshot = body.AsConfigSnapshot()) {
        if (m_context.config.offer(*snapshot, member.value)) {
            logEvent(Event::kConfigFromPeer, {{"peer", member.value}});
        }
    } else if (m_onMessage) {
        m_onMessage(member, body);
    }
}

bool PeerController::onRunMessage(wire::BodyUnion& body) {
    const auto post = [this](uint64_t id, RunMessage message) {
        const auto it = m_runs.find(id);
        if (it != m_runs.end()) {
            it->second.channel->post(std::move(message));
        }
    };
    if (auto* verdict = body.AsRunVerdict()) {
        post(verdict->id, std::move(*verdict));
        return true;
    }
    if (auto* chunk = body.AsRunChunk()) {
        post(chunk->id, std::move(*chunk));
        return true;
    }
    if (auto* end = body.AsRunEnd()) {
        post(end->id, std::move(*end));
        return true;
    }
    return false;
}

void PeerController::onRunRequest(const std::shared_ptr<FrameLink>& link,
                                  wire::RunRequestT request) {
    const MemberId member(link->peer().box);
    const RunSink sink = [link](wire::BodyUnion body) { link->sendEncoded(EncodeFrame(body)); };
    if (request.kind == wire::RunKind::Keyed) {
        m_onKeyed(member, std::move(request), sink);
    } else {
        m_home.ask(member, std::move(request), sink);
    }
}

void PeerController::onDigest(const MemberId& box, const wire::DigestT& digest) {
    const MonoTime now = ReadClocks().mono;
    m_table.heard(box, digest.draining, digest.next_ms, now);
    m_home.digest(box, digest);
    if (m_onDigest) {
        m_onDigest(box, digest);
    }
    checkHomes();
    askForConfig(box, digest.config_revision, now);
}

// A higher revision is elsewhere. The agent brings it as a rule, and at less cost; without one, or
// in an outage, a peer that has it is asked.
void PeerController::askForConfig(const MemberId& box, uint64_t revision, MonoTime now) {
    if (revision <= m_context.config.revision()) {
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool urgent = m_context.config.revision() == 0;
    const bool waited = now - *m_behindSince >= kConfigPatience;
    const auto link = m_links.find(box);
    if ((urgent || waited) && now >= m_nextConfigAsk && link != m_links.end()) {
        m_nextConfigAsk = now + kConfigAskPeriod;
        link->second->send(m_context.config.makeAsk());
    }
}

std::shared_ptr<RunChannel> PeerController::open(const MemberId& home, wire::RunRequestT request) {
    auto channel = std::make_shared<RunChannel>(m_context.executor);
    m_runs[request.id] = {home, channel};
    if (home == m_context.self) {
        if (request.kind == wire::RunKind::Keyed) {
            m_onKeyed(home, std::move(request), ChannelSink(channel));
        } else {
            m_home.ask(home, std::move(request), ChannelSink(channel));
        }
        return channel;
    }
    const auto link = m_links.find(home);
    if (link == m_links.end()) {
        channel->post(HopLost{});
        return channel;
    }
    link->second->send(std::move(request));
    return channel;
}

void PeerController::cancel(const MemberId& home, uint64_t id) {
    m_runs.erase(id);
    if (home == m_context.self) {
        m_home.cancel(home, id);
        return;
    }
    const auto link = m_links.find(home);
    if (link != m_links.end()) {
        wire::RunCancelT cancel;
        cancel.id = id;
        link->second->send(cancel);
    }
}

bool PeerController::send(const MemberId& member, const wire::BodyUnion& body) {
    const auto link = m_links.find(member);
    if (link == m_links.end()) {
        return false;
    }
    std::string frame = EncodeFrame(body);
    m_controlBytes += frame.size();
    link->second->sendEncoded(std::move(frame));
    return true;
}

}  // namespace onyx
