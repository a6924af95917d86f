#include "include/peers/PeerMesh.h"

#include "include/membership/DigestPeriod.h"
#include "include/observe/BuildId.h"
#include "include/observe/Events.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// All times in milliseconds.
constexpr Millis kDialPeriod = 500;    // Links to a box that comes back well within 3 s.
constexpr Millis kRelayTimeout = 150;  // Each for opening a relay connection and its greeting.
// Maximum number of boxes that this box dials; as many dial it. With the resulting 32 links, the
// digests of a site of 85 boxes fit into the budget of control bytes once a second.
constexpr size_t kMaxDialed = 16;
// Bytes of the large frames that are being read, of all links: two of the largest size.
constexpr size_t kFrameMemory = 2 * kMaxFrameSize;

}  // namespace

PeerMesh::PeerMesh(asio::io_context& io, const GatewaySettings& settings, UpstreamRecords& records,
                   Metrics& metrics, Sink sink)
    : m_io(io),
      m_settings(settings),
      m_records(records),
      m_metrics(metrics),
      m_sink(std::move(sink)),
      m_acceptor(io),
      m_frameMemory(std::make_shared<FrameMemory>(kFrameMemory)),
      m_exchange(records, settings.digestBudget) {
    m_self = settings.box + "#" + std::to_string(ReadClocks().mono.ms);
}

Result<bool> PeerMesh::start() {
    BOOST_OUTCOME_TRY(m_acceptor, Listen(m_io, m_settings.peers, "peers.listen"));
    m_address = EndpointText(m_acceptor.local_endpoint());
    m_self += "@" + m_address;
    m_boxes.emplace(KnownBox{m_address, m_settings.zone}, kMaxDialed);
    const MonoTime now = ReadClocks().mono;
    for (const Endpoint& seed : m_settings.seeds) {
        m_boxes->learn({EndpointText(seed), {}}, now);
    }
    const auto executor = m_io.get_executor();
    const auto accept = [this, executor](Tcp::socket socket) {
        Spawn(executor, acceptLink(std::move(socket)));
    };
    Spawn(executor, AcceptAll(m_acceptor, accept));
    Spawn(executor, dialPeers());
    Spawn(executor, announceLoads());
    return true;
}

wire::HelloT PeerMesh::hello() const {
    wire::HelloT hello;
    hello.box = m_self;
    hello.zone = m_settings.zone;
    hello.address = m_address;
    hello.role = wire::LinkRole::Router;
    hello.takes_load_reports = true;
    hello.takes_crash_reports = true;
    hello.takes_relayed_requests = true;
    hello.keeps_stream_origins = true;
    hello.records_versions = true;
    hello.build = BuildId();
    return hello;
}

Task<> PeerMesh::acceptLink(Tcp::socket socket) {
    wire::HelloT greeting = hello();
    auto link = co_await FrameLink::Accept(std::move(socket), std::move(greeting));
    if (link.has_error()) {
        co_return;
    }
    if (link.value()->peer().role == wire::LinkRole::Relay) {
        m_sink.onRelayConnection(link.value()->releaseSocket());
    } else {
        addLink(link.value(), false);
    }
}

std::vector<RelayBox> PeerMesh::relayBoxes() const {
    std::vector<RelayBox> boxes;
    for (const auto& [address, peer] : m_links) {
        const wire::HelloT& hello = peer.link->peer();
        if (hello.takes_relayed_requests) {
            boxes.push_back({address, hello.zone, peer.lostServices, hello.keeps_stream_origins});
        }
    }
    return boxes;
}

bool PeerMesh::isLinkedToUnrecorded() const {
    return std::any_of(m_links.begin(), m_links.end(), [](const auto& entry) {
        return !entry.second.link->peer().records_versions;
    });
}

Task<Result<Tcp::socket>> PeerMesh::openRelay(std::string address) const {
    const auto endpoint = ParseEndpoint(address);
    if (endpoint.has_error()) {
        co_return endpoint.error();
    }
    const Endpoint& peer = endpoint.value();
    wire::HelloT greeting = hello();
    greeting.role = wire::LinkRole::Relay;
    auto link = co_await FrameLink::Connect(peer, std::move(greeting), kRelayTimeout);
    if (link.has_error()) {
        co_return link.error();
    }
    co_return link.value()->releaseSocket();
}

Task<> PeerMesh::dialPeers() {
    while (true) {
        const MonoTime now = ReadClocks().mono;
        closeSilentLinks();
        countLinksByBuild();
        announceBoxes();
        m_boxes->expire(now - BoxDirectory::kExpiryMs,
                        [this](const std::string& address) { return m_links.contains(address); });
        m_boxesKnown = m_boxes->size();
        dialMissing();
        co_await SleepFor(kDialPeriod);
    }
}

void PeerMesh::dialMissing() {
    std::vector<std::string> wanted = m_boxes->boxesToDial(m_links.empty());
    if (!m_extraPeer.empty()) {
        wanted.push_back(m_extraPeer);
    }
    for (const std::string& address : wanted) {
        if (!m_links.contains(address) && m_dialing.insert(address).second) {
            Spawn(m_io.get_executor(), dial(address));
        }
    }
}

std::vector<std::string> PeerMesh::linkedAddresses() const {
    std::vector<std::string> addresses;
    addresses.reserve(m_links.size());
    for (const auto& [address, peer] : m_links) {
        addresses.push_back(address);
    }
    return addresses;
}

bool PeerMesh::isLinkedInZone(const std::string& address) const {
    const auto it = m_links.find(address);
    return it != m_links.end() && it->second.link->peer().zone == m_settings.zone;
}

bool PeerMesh::takesCrashReports(const std::string& address) const {
    const auto it = m_links.find(address);
    return it != m_links.end() && it->second.link->peer().takes_crash_reports;
}

std::vector<std::string> PeerMesh::linkedTakingCrashReports() const {
    std::vector<std::string> addresses = linkedAddresses();
    std::erase_if(addresses, [this](const std::string& box) { return !takesCrashReports(box); });
    return addresses;
}

Task<> PeerMesh::dial(std::string address) {
    const auto endpoint = ParseEndpoint(address);
    if (endpoint.has_value()) {
        const Endpoint& peer = endpoint.value();
        wire::HelloT greeting = hello();
        auto link = co_await FrameLink::Connect(peer, std::move(greeting));
        if (link.has_value()) {
            addLink(link.value(), true);
        }
    }
    m_dialing.erase(address);
}

// The box that dialed sends its box list first; the other one answers with the boxes that are
// missing from that list.
void PeerMesh::addLink(const std::shared_ptr<FrameLink>& link, bool dialed) {
    const std::string address = link->peer().address;
    if (address == m_address || link->peer().box == m_self) {
        link->close();
        return;
    }
    const auto old = m_links.find(address);
    if (old != m_links.end()) {
        const std::shared_ptr<FrameLink> previous = old->second.link;
        m_links.erase(old);
        previous->close();
    }
    const MonoTime now = ReadClocks().mono;
    m_links[address] = {link, now};
    m_links[address].dialed = dialed;
    m_announcedBoxes.linkOpened({address, link->peer().zone});
    m_exchange.setLoadReportSupport(address, link->peer().takes_load_reports);
    m_boxes->noteContact({address, link->peer().zone}, now);
    logEvent(Event::kPeerUp,
             {{"peer", link->peer().box}, {"address", address}, {"build", link->peer().build}});
    link->start([this](FrameLink& from, wire::BodyUnion& body) { onFrame(from, body); },
                [this](FrameLink& closed) { onClosed(closed); }, m_frameMemory);
    if (dialed) {
        sendBoxes(address, m_boxes->all());
    }
    m_sink.onLinked(address);
}

void PeerMesh::onClosed(FrameLink& link) {
    m_records.forgetPeer(link.peer().address);
    const auto it = m_links.find(link.peer().address);
    if (it != m_links.end() && it->second.link.get() == &link) {
        m_links.erase(it);
        m_announcedBoxes.linkClosed(link.peer().address);
        logEvent(Event::kPeerDown, {{"peer", link.peer().box}});
    }
}

void PeerMesh::closeSilentLinks() {
    const MonoTime now = ReadClocks().mono;
    std::vector<std::shared_ptr<FrameLink>> silent;
    for (const auto& [address, peer] : m_links) {
        if (now - peer.lastFrameAt > SilenceTimeout(peer.digestPeriod)) {
            silent.push_back(peer.link);
        }
    }
    for (const auto& link : silent) {
        link->close();
    }
}

wire::BoxListT PeerMesh::makeBoxList(const std::vector<KnownBox>& boxes) const {
    constexpr Millis kMaxSeconds = 65535;  // Maximum of the frame field heard_s.
    const MonoTime now = ReadClocks().mono;
    wire::BoxListT list;
    for (const KnownBox& box : boxes) {
        auto entry = std::make_unique<wire::BoxEntryT>();
        entry->address = box.address;
        entry->zone = box.zone;
        const Millis seconds = m_boxes->age(box.address, now) / 1000;
        entry->heard_s = static_cast<uint16_t>(std::min(seconds, kMaxSeconds));
        list.boxes.push_back(std::move(entry));
    }
    return list;
}

void PeerMesh::announceBoxes() {
    const std::vector<KnownBox> newcomers = m_boxes->takeNewBoxes();
    if (newcomers.empty()) {
        return;
    }
    for (const std::string& address : linkedAddresses()) {
        sendBoxes(address, newcomers);
    }
}

void PeerMesh::sendBoxes(const std::string& address, std::span<const KnownBox> boxes) {
    const std::vector<KnownBox> unknown = m_announcedBoxes.takeUnannounced(address, boxes);
    if (!unknown.empty()) {
        sendTo(address, EncodeMessage(makeBoxList(unknown)));
    }
}

void PeerMesh::sendTo(const std::string& address, std::string frame) {
    const auto it = m_links.find(address);
    if (it == m_links.end()) {
        return;
    }
    m_metrics.count("onyx_peer_bytes_sent_total", {}, frame.size());
    const std::shared_ptr<FrameLink> link = it->second.link;
    link->sendEncoded(std::move(frame));
}

// Sending closes a link that accepts no more frames and so erases it from m_links. Therefore this
// iterates over the addresses and not over m_links.
void PeerMesh::sendEncoded(const OutgoingFrame& outgoing) {
    for (const std::string& address : outgoing.to) {
        sendTo(address, outgoing.frame);
    }
}

void PeerMesh::applyBoxList(Peer& peer, const wire::BoxListT& list) {
    const MonoTime now = ReadClocks().mono;
    const std::string address = peer.link->peer().address;
    for (const auto& entry : list.boxes) {
        if (entry && ParseEndpoint(entry->address).has_value()) {
            const KnownBox box{entry->address, entry->zone};
            if (m_boxes->learn(box, now - Millis{entry->heard_s} * 1000)) {
                m_announcedBoxes.noteAnnounced(address, box);
            }
        }
    }
    // Must come last: sending closes a link that accepts no more frames, which destroys `peer`.
    if (!std::exchange(peer.receivedBoxList, true) && !peer.dialed) {
        sendBoxes(address, m_boxes->all());
    }
}

void PeerMesh::onFrame(FrameLink& link, wire::BodyUnion& body) {
    const MonoTime now = ReadClocks().mono;
    const std::string& address = link.peer().address;
    const auto it = m_links.find(address);
    if (it == m_links.end()) {
        return;
    }
    it->second.lastFrameAt = now;
    m_boxes->noteContact({address, link.peer().zone}, now);
    if (!IsKnownMessage(body)) {
        recordUnknownFrame(it->second, body);
        return;
    }
    m_exchange.handleMessage(address, body, now);
    if (const auto* digest = body.AsDigest()) {
        it->second.digestPeriod = static_cast<Millis>(digest->next_ms);
        it->second.lostServices = digest->lost_services;
        LoadExchange::ApplySightings(*m_boxes, *digest, now);
    } else if (const auto* list = body.AsBoxList()) {
        applyBoxList(it->second, *list);
    } else if (const auto* ask = body.AsKnowledgeAsk()) {
        m_sink.onKnowledgeQuery(address, *ask);
    } else if (const auto* reply = body.AsKnowledgeReply()) {
        m_sink.onKnowledgeReply(address, *reply);
    } else if (const auto* reports = body.AsCrashReports()) {
        m_sink.onCrashReports(address, *reports);
    } else if (const auto* rollouts = body.AsRolloutReports()) {
        m_sink.onRolloutReports(address, *rollouts);
    }
}

void PeerMesh::recordUnknownFrame(Peer& peer, const wire::BodyUnion& body) {
    m_metrics.count("onyx_peer_frames_unknown_total");
    if (!std::exchange(peer.receivedUnknownFrame, true)) {
        logEvent(Event::kFrameUnknown, {{"peer", peer.link->peer().box},
                                        {"kind", std::to_string(static_cast<int>(body.type))}});
    }
}

// Shows the progress of a rolling upgrade. A build that no linked box runs any more stays in the
// metric with the value 0.
void PeerMesh::countLinksByBuild() {
    for (auto& [build, links] : m_builds) {
        links = 0;
    }
    for (const auto& [address, peer] : m_links) {
        ++m_builds[peer.link->peer().build];
    }
    for (const auto& [build, links] : m_builds) {
        m_metrics.set("onyx_peer_builds", {{"build", build}}, static_cast<double>(links));
    }
}

Task<> PeerMesh::announceLoads() {
    while (true) {
        for (const OutgoingFrame& outgoing :
             m_exchange.makeDueFrames(*m_boxes, linkedAddresses(), ReadClocks().mono)) {
            sendEncoded(outgoing);
        }
        m_metrics.set("onyx_peer_links", {}, static_cast<double>(m_links.size()));
        co_await SleepFor(m_exchange.nextDelay());
    }
}

}  // namespace onyx
