// What the boxes of a site tell each other of what the store has. While the store does not answer
// this box it asks others how old their configuration and list of upstreams are, and fetches what
// is newer there. In a zone of many boxes it follows one that watches the store, and is followed if
// it is such a one.
//
// Owns the questions under way and whom this box follows. Relies on PeerMesh for the messages, on
// PeerKnowledge and WatchDelegation for the rules, on StorePacing for the times. What it learns
// goes to the configuration and the upstreams.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/freshness/PeerKnowledge.h"
#include "include/freshness/WatchDelegation.h"
#include "include/gateway/PeerMesh.h"
#include "include/gateway/StoreController.h"

#include <functional>
#include <string>

namespace onyx {

// What another box has, and as of when this box has it through that.
struct PeerUpdate {
    std::string configuration;  // As text; empty: none came, or it is no newer than here.
    uint64_t version = 0;       // Of the configuration that it has.
    MonoTime configurationAsOf;
    std::optional<UpstreamChanges> upstreams;  // Nothing: none came.
    uint64_t upstreamsRevision = 0;
    std::optional<MonoTime> upstreamsAsOf;  // Nothing: the box knows no upstreams.
};

// Not thread safe: one io_context.
class PeerSync {
public:
    // Preconditions: all arguments outlive it.
    PeerSync(const GatewaySettings& settings, const Dialect& dialect,
             ConfigurationState& configuration, UpstreamList& upstreams, StoreController& store,
             PeerMesh& mesh);

    // Asks others, for as long as the process lives. Preconditions: called once; mesh and store
    // were started.
    Task<> run();

    // Answers a box. Preconditions: none.
    void onAsk(const std::string& from, const wire::KnowledgeAskT& ask);

    // Takes in a box's answer. Preconditions: none.
    void onReply(const std::string& from, const wire::KnowledgeReplyT& reply);

    // Whether others follow this box, or are about to: what it knows is to be young.
    // Preconditions: none.
    bool watchesForOthers() const { return m_delegation.isWatcher() || isFollowed(); }

    // Whether it is known that every box of the zone watches the store. Preconditions: none.
    bool inSmallZone() const;

    // Whether this box follows another. Preconditions: none.
    bool following() const { return m_delegation.following(); }

private:
    bool isFollowed() const;
    void chooseWatcher(MonoTime now);
    void announceFollowing();
    void askWatcher();
    void askOthers(MonoTime now);
    void fetchNewer(const std::string& from, const wire::KnowledgeReplyT& reply);
    void apply(const PeerUpdate& update);
    void takeWatcherReply(const std::string& from, const wire::KnowledgeReplyT& reply,
                          const PeerUpdate& update);
    wire::KnowledgeAskT questionOf(uint64_t round) const;
    bool hasNewer(const wire::KnowledgeReplyT& reply) const;
    KnownAges ages(MonoTime now) const;
    bool isOverdue(MonoTime now) const { return IsOverdue(m_settings.pacing, ages(now)); }

    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    ConfigurationState& m_configuration;
    UpstreamList& m_upstreams;
    StoreController& m_store;
    PeerMesh& m_mesh;
    PeerKnowledge m_knowledge;
    WatchDelegation m_delegation;
    std::string m_watcher;              // The box that is asked in place of the store; empty: none.
    bool m_announcedFollowing = false;  // The store controller was set to this last.
    MonoTime m_started;
    MonoTime m_lastAsk;
    std::optional<MonoTime> m_followedAt;  // When a follower asked last.
};

}  // namespace onyx
