// The links between the gateways of a site: finds the other boxes, holds links to all of a few and
// to a sample of many, and announces over them what this box has in flight and has learned of
// caches. A box without links goes on serving.
//
// Owns the links and the directory of boxes. Relies on BoxDirectory for whom to dial and on
// LoadExchange for what to announce to whom. What boxes ask each other of the store is PeerSync's
// matter.
#pragma once

#include "include/gateway/GatewaySettings.h"
#include "include/gateway/LoadExchange.h"
#include "include/gateway/UpstreamRecords.h"
#include "include/membership/BoxDirectory.h"
#include "include/membership/BoxNews.h"
#include "include/observe/Metrics.h"
#include "include/wire/FrameLink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace onyx {

// Not thread safe: one io_context.
class PeerMesh {
public:
    // What comes over the links for others than the mesh. `from`: the address of the sender.
    struct Sink {
        std::function<void(const std::string& from, const wire::KnowledgeAskT&)> onKnowledgeQuery;
        std::function<void(const std::string& from, const wire::KnowledgeReplyT&)> onKnowledgeReply;
        std::function<void(const std::string& from, const wire::CrashReportsT&)> onCrashReports;
        std::function<void(const std::string& address)> onLinked;  // A link stands.
    };

    // Preconditions: context, settings, records and metrics outlive the mesh.
    PeerMesh(asio::io_context& io, const GatewaySettings& settings, UpstreamRecords& records,
             Metrics& metrics, Sink sink);

    // Listens and begins to dial. Errors: kUnavailable if the address cannot be bound.
    // Preconditions: called once.
    Result<bool> start();

    // Where it listens. Preconditions: start() succeeded.
    Endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    // This box as others dial it. Preconditions: start() succeeded.
    const std::string& address() const { return m_address; }

    // Boxes of the site heard of lately, this one included. Preconditions: none.
    size_t boxesKnown() const { return m_boxesKnown; }

    // Links that stand. Preconditions: none.
    size_t links() const { return m_links.size(); }

    // Addresses of the boxes to which links stand. Preconditions: none.
    std::vector<std::string> linkedAddresses() const;

    // Whether a link to `address` stands. Preconditions: none.
    bool isLinked(const std::string& address) const { return m_links.contains(address); }

    // Addresses of the zone's boxes in their common order, this one included.
    // Preconditions: start() succeeded.
    std::vector<std::string> zoneOrder() const { return m_boxes->zoneOrder(); }

    // Keeps a link to `address`, beside those that it keeps anyway; empty: to no other box.
    // Preconditions: none.
    void keepLinked(std::string address) { m_extraPeer = std::move(address); }

    // Whether the box at `address` is linked and knows CrashReports; those that do.
    // Preconditions: none.
    bool takesCrashReports(const std::string& address) const;
    std::vector<std::string> linkedTakingCrashReports() const;

    // Sends a frame to the boxes that it is for; to those that are not linked it is dropped.
    // Preconditions: none.
    void sendEncoded(const OutgoingFrame& outgoing);

    // Sends a message to one box; dropped if there is no link to it. Preconditions: none.
    template <class Message>
    void send(const std::string& address, Message message) {
        sendTo(address, EncodeMessage(std::move(message)));
    }

private:
    struct Peer {
        std::shared_ptr<FrameLink> link;
        MonoTime lastFrameAt;
        Millis digestPeriod = 0;            // As it announced it last; 0: not yet.
        bool dialed = false;                // By this box.
        bool receivedBoxList = false;       // It told which boxes it knows.
        bool receivedUnknownFrame = false;  // A frame of a kind that this build does not know.
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
    std::string m_self;                   // This life's name.
    std::string m_address;                // Of this box, as others dial it.
    std::map<std::string, Peer> m_links;  // By the peer's address.
    std::optional<BoxDirectory> m_boxes;  // Once this box knows its own address.
    BoxNews m_announcedBoxes;             // Which of them the linked boxes know.
    std::string m_extraPeer;              // A box to be linked to besides; empty: none.
    std::set<std::string> m_dialing;
    LoadExchange m_exchange;
    size_t m_boxesKnown = 1;
    std::map<std::string, size_t> m_builds;  // Links by the build at their other end.
};

}  // namespace onyx
