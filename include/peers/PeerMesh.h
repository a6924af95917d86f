// Manages the links between the gateways of a site: discovers the other boxes, keeps links to all
// of them in a small site and to a sample of them in a large one, and announces over the links the
// requests that this box has in flight and the cache contents that it has learned. A box without
// links continues to serve requests.
//
// Owns the links and the directory of boxes. BoxDirectory decides which boxes to dial, and
// LoadExchange what to announce to which box. PeerSync handles the queries for the store's
// contents that boxes send each other.
#pragma once

#include "include/membership/AnnouncedBoxes.h"
#include "include/membership/BoxDirectory.h"
#include "include/observe/Metrics.h"
#include "include/peers/LoadExchange.h"
#include "include/state/GatewaySettings.h"
#include "include/state/UpstreamRecords.h"
#include "include/wire/FrameLink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace onyx {

// A linked box that takes relayed requests.
struct RelayBox {
    std::string address;
    std::string zone;
    std::vector<uint32_t> lostServices;  // It reaches none of their upstreams; ShortHash of names.
    bool keepsStreamOrigins = false;     // It continues a stream only at the version that began it.
};

// Not thread safe: one io_context.
class PeerMesh {
public:
    // Handlers for the messages and events that the mesh does not process itself. `from`: the
    // address of the sender.
    struct Sink {
        std::function<void(const std::string& from, const wire::KnowledgeAskT&)> onKnowledgeQuery;
        std::function<void(const std::string& from, const wire::KnowledgeReplyT&)> onKnowledgeReply;
        std::function<void(const std::string& from, const wire::CrashReportsT&)> onCrashReports;
        std::function<void(const std::string& from, const wire::RolloutReportsT&)> onRolloutReports;
        std::function<void(const std::string& address)> onLinked;  // A link is established.
        // Another box has opened a connection on which it relays requests, as HTTP.
        std::function<void(Tcp::socket)> onRelayConnection;
    };

    // Preconditions: context, settings, records and metrics outlive the mesh.
    PeerMesh(asio::io_context& io, const GatewaySettings& settings, UpstreamRecords& records,
             Metrics& metrics, Sink sink);

    // Starts listening and dialing. Errors: kUnavailable if the address cannot be bound.
    // Preconditions: called once.
    Result<bool> start();

    // The endpoint on which this box listens for links. Preconditions: start() succeeded.
    Endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    // The address at which other boxes dial this box. Preconditions: start() succeeded.
    const std::string& address() const { return m_address; }

    // The number of boxes of the site that were seen alive within BoxDirectory::kExpiryMs,
    // including this one. Preconditions: none.
    size_t boxesKnown() const { return m_boxesKnown; }

    // The number of established links. Preconditions: none.
    size_t links() const { return m_links.size(); }

    // The addresses of the boxes to which links are established. Preconditions: none.
    std::vector<std::string> linkedAddresses() const;

    // Whether a link to the box at `address` is established and that box is in this box's zone.
    // Preconditions: none.
    bool isLinkedInZone(const std::string& address) const;

    // Whether a link to `address` is established. Preconditions: none.
    bool isLinked(const std::string& address) const { return m_links.contains(address); }

    // The addresses of the boxes of this box's zone, including this one, in the order on which all
    // boxes agree. Preconditions: start() succeeded.
    std::vector<std::string> zoneOrder() const { return m_boxes->zoneOrder(); }

    // All boxes of the site that this box knows, including itself, and a number that changes with
    // them. Preconditions: start() succeeded.
    std::vector<KnownBox> boxes() const { return m_boxes->all(); }
    uint64_t boxesVersion() const { return m_boxes->version(); }

    // Keeps a link to `address` in addition to the links that BoxDirectory selects. An empty
    // address requests no additional link. Replaces the address of the last call.
    // Preconditions: none.
    void keepLinked(std::string address) { m_extraPeer = std::move(address); }

    // Whether the box at `address` is linked and accepts CrashReports. Preconditions: none.
    bool takesCrashReports(const std::string& address) const;
    // The addresses of all linked boxes that accept CrashReports. Preconditions: none.
    std::vector<std::string> linkedTakingCrashReports() const;

    // The linked boxes that take relayed requests. Preconditions: none.
    std::vector<RelayBox> relayBoxes() const;
    // Whether a linked box runs an earlier build, which begins streams at versions that no record
    // assigns. Preconditions: none.
    bool isLinkedToUnrecorded() const;
    // Opens a connection to the box at `address` on which requests can be relayed, as HTTP.
    // Errors: kUnavailable, kTimeout, kProtocol; nothing was sent then.
    // Preconditions: the box takes relayed requests.
    Task<Result<Tcp::socket>> openRelay(std::string address) const;
    // Announces the services of which this box reaches no upstream, as ShortHash of their names.
    // Preconditions: none.
    void announceLostServices(std::vector<uint32_t> services) {
        m_exchange.setLostServices(std::move(services));
    }

    // Sends a frame to the boxes in `outgoing.to`; drops it for boxes that are not linked.
    // Preconditions: none.
    void sendEncoded(const OutgoingFrame& outgoing);

    // Sends a message to one box; drops it if that box is not linked. Preconditions: none.
    template <class Message>
    void send(const std::string& address, Message message) {
        sendTo(address, EncodeMessage(std::move(message)));
    }

private:
    struct Peer {
        std::shared_ptr<FrameLink> link;
        MonoTime lastFrameAt;
        Millis digestPeriod = 0;       // As last announced by the peer; 0 if not yet announced.
        bool dialed = false;           // This box dialed the link.
        bool receivedBoxList = false;  // The peer has sent its box list.
        bool receivedUnknownFrame = false;   // Of a type that this build does not support.
        std::vector<uint32_t> lostServices;  // As in its last digest.
    };

    Task<> acceptLink(Tcp::socket socket);
    Task<> dialPeers();
    void dialMissing();
    Task<> dial(std::string address);
    Task<> announceLoads();
    wire::HelloT hello() const;
    void addLink(const std::shared_ptr<FrameLink>& link, bool dialed);
    void onFrame(FrameLink& link, wire::BodyUnion& body);
    void onClosed(FrameLink& link);
    void applyBoxList(Peer& peer, const wire::BoxListT& list);
    void sendBoxes(const std::string& address, std::span<const KnownBox> boxes);
    wire::BoxListT makeBoxList(const std::vector<KnownBox>& boxes) const;
    void announceBoxes();
    void sendTo(const std::string& address, std::string frame);
    void closeSilentLinks();
    void recordUnknownFrame(Peer& peer, const wire::BodyUnion& body);
    void countLinksByBuild();

    asio::io_context& m_io;
    const GatewaySettings& m_settings;
    UpstreamRecords& m_records;
    Metrics& m_metrics;
    Sink m_sink;
    Tcp::acceptor m_acceptor;
    std::string m_self;     // Unique name of this process.
    std::string m_address;  // At which other boxes dial this box.
    std::shared_ptr<FrameMemory> m_frameMemory;
    std::map<std::string, Peer> m_links;  // By the peer's address.
    std::optional<BoxDirectory> m_boxes;  // Set once this box knows its address.
    AnnouncedBoxes m_announcedBoxes;      // Those that were announced over each link.
    std::string m_extraPeer;              // See keepLinked(); empty if none.
    std::set<std::string> m_dialing;
    LoadExchange m_exchange;
    size_t m_boxesKnown = 1;
    std::map<std::string, size_t> m_builds;  // Number of links by the peer's build.
};

}  // namespace onyx
