// What the boxes of a site tell each other of what the store told them. While the store is silent
// to this box it asks others how old their knowledge is, and fetches what is newer there. In a zone
// of many boxes it follows one that watches the store, and is followed if it is such a one.
#pragma once

#include "include/freshness/PeerKnowledge.h"
#include "include/freshness/WatchDelegation.h"
#include "include/gateway/GatewayState.h"
#include "include/gateway/PeerMesh.h"

#include <functional>
#include <string>

namespace onyx {

// What a box told of its knowledge, and as of when this box knows it through that.
struct PeerNews {
    std::string content;  // The configuration; empty: none came, or it is no newer than here.
    uint64_t revision = 0;
    MonoTime asOf;
    std::optional<UpstreamChanges> upstreams;  // Nothing: none came.
    uint64_t upstreamsRevision = 0;
    std::optional<MonoTime> upstreamsAsOf;  // Nothing: the box knows no upstreams.
};

// Not thread safe: one io_context.
class KnowledgeExchange {
public:
    struct Sink {
        std::function<void(const PeerNews&)> onNews;
        // From now on a watcher tells what the store would, or no longer does.
        std::function<void(bool)> onFollowing;
        // The watcher has something newer of this kind, which the store is to be asked for.
        std::function<void(ObjectKind)> onBehind;
    };

    // Preconditions: state and mesh outlive the exchange.
    KnowledgeExchange(GatewayState& state, PeerMesh& mesh, Sink sink);

    // Asks others, for as long as the process lives. Preconditions: called once; the mesh started.
    Task<> run();

    // Answers a box. Preconditions: none.
    void onAsk(const std::string& from, const wire::KnowledgeAskT& ask);

    // Takes in a box's answer. Preconditions: none.
    void onReply(const std::string& from, const wire::KnowledgeReplyT& reply);

    // Whether others follow this box, or are about to: its knowledge is to be young.
    // Preconditions: none.
    bool watchesForOthers() const;

    // Whether it is known that every box of the zone watches the store. Preconditions: none.
    bool inSmallZone() const;

    // Whether this box follows another. Preconditions: none.
    bool following() const { return m_delegation.following(); }

private:
    bool isFollowed() const;
    void look();
    void askWatcher(const std::string& watcher);
    void askOthers(MonoTime now);
    void fetchNewer(const std::string& from, const wire::KnowledgeReplyT& reply);
    void takeWatcherReply(const std::string& from, const wire::KnowledgeReplyT& reply,
                          const PeerNews& news);
    void tellFollowing();
    wire::KnowledgeAskT questionOf(uint64_t round) const;
    bool isOld(MonoTime now) const;
    std::optional<Millis> ageOfAll(MonoTime now) const;
    uint64_t revision() const;

    GatewayState& m_state;
    PeerMesh& m_mesh;
    Sink m_sink;
    PeerKnowledge m_knowledge;
    WatchDelegation m_delegation;
    std::string m_watcher;         // The box that is asked in place of the store; empty: none.
    bool m_toldFollowing = false;  // What onFollowing was called with last.
    MonoTime m_lastAsk;
    std::optional<MonoTime> m_followedAt;  // When a follower asked last.
};

}  // namespace onyx
