// The links between the gateways of a site: each tells the others what it has in flight, and may
// ask them how old their knowledge of the configuration is. Nothing is agreed on here, and a box
// without links goes on serving.
#pragma once

#include "include/freshness/PeerKnowledge.h"
#include "include/gateway/GatewayState.h"
#include "include/membership/BoxDirectory.h"
#include "include/wire/FrameLink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace onyx {

// A configuration that a peer sent, and as of when this box knows what that peer knew.
struct PeerNews {
    std::string content;  // Empty: the peer has no higher revision than this box.
    uint64_t revision = 0;
    MonoTime asOf;
    std::vector<Upstream> upstreams;  // Empty unless they were asked for and the peer knows them.
};

// Not thread safe: one io_context.
class PeerMesh {
public:
    // Preconditions: the state outlives the mesh.
    PeerMesh(GatewayState& state, std::function<void(const PeerNews&)> onNews);

    // Listens and begins to dial. Errors: kUnavailable if the address cannot be bound.
    // Preconditions: called once.
    Result<bool> start();

    // Where it listens. Preconditions: start() succeeded.
    Endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    // Links that stand. Preconditions: none.
    size_t links() const { return m_links.size(); }

private:
    struct Peer {
        std::shared_ptr<FrameLink> link;
        MonoTime heard;
        Millis promised = 0;  // The period of its digests, as it told.
    };

    Task<> greetAccepted(Tcp::socket socket);
    Task<> dialPeers();
    Task<> dial(std::string address);
    Task<> tellLoads();
    wire::HelloT hello() const;
    void adopt(const std::shared_ptr<FrameLink>& link);
    void onFrame(FrameLink& link, wire::BodyUnion& body);
    void onClosed(FrameLink& link);
    void learn(const wire::BoxListT& list);
    void answer(FrameLink& link, const wire::KnowledgeAskT& ask);
    void takeReply(const wire::KnowledgeReplyT& reply);
    void sendDigest(const PeerCounts::Counts& counts);
    static wire::BoxListT ListOf(const std::vector<KnownBox>& boxes);
    void tellNewBoxes();
    void sendToAll(const std::string& frame);
    void askWhenOld();
    void dropSilent();

    GatewayState& m_state;
    std::function<void(const PeerNews&)> m_onNews;
    Tcp::acceptor m_acceptor;
    std::string m_self;                   // This life's name.
    std::string m_address;                // Of this box, as others dial it.
    std::map<std::string, Peer> m_links;  // By the peer's address.
    std::optional<BoxDirectory> m_boxes;  // Once this box knows its own address.
    std::set<std::string> m_dialing;
    PeerKnowledge m_knowledge;
    MonoTime m_lastAsk;
    MonoTime m_lastDigest;
    PeerCounts::Counts m_told;
    Millis m_digestPeriod = 100;
    uint64_t m_sequence = 0;
};

}  // namespace onyx
