// What the boxes of a site tell each other of what the store has: how old it is, what changed since
// a revision, and on request all of it; evacuations with every answer. Carries out what
// KnowledgeSpread decides: whom this box asks, and whether it calls the store itself.
//
// Owns the questions under way. Relies on PeerMesh for the messages, on KnowledgeSpread and
// PeerKnowledge for the rules. What it learns goes to the configuration and the upstreams.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/freshness/KnowledgeSpread.h"
#include "include/freshness/PeerKnowledge.h"
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

// What boxes tell each other of.
struct SyncedState {
    ConfigurationState& configuration;
    UpstreamList& upstreams;
    EvacuationList& evacuations;
};

// Not thread safe: one io_context.
class PeerSync {
public:
    // Preconditions: all arguments outlive it.
    PeerSync(const GatewaySettings& settings, const Dialect& dialect, const SyncedState& known,
             StoreController& store, PeerMesh& mesh);

    // Asks others, for as long as the process lives. Preconditions: called once; mesh and store
    // were started.
    Task<> run();

    // Answers a box. Preconditions: none.
    void onKnowledgeRequest(const std::string& from, const wire::KnowledgeAskT& ask);

    // Takes in a box's answer. Preconditions: none.
    void onKnowledgeReply(const std::string& from, const wire::KnowledgeReplyT& reply);

    // A link to a box stands. Preconditions: none.
    void onLinked(const std::string& address);

    // Whether others follow this box, or are about to: what it knows is to be young.
    // Preconditions: none.
    bool watchesForOthers() const;

    // Whether this box relies on others in ordinary times. Preconditions: none.
    bool hasOthers() const { return m_spread.hasOthers(); }

    // Whether this box may call the store now for objects of this kind. Preconditions: none.
    bool mayCallStore(ObjectKind kind);

    // Whether this box relies on others in place of calling the store. Preconditions: none.
    bool following() const { return !m_duty.calls; }

private:
    // Up to which version and revision a copy of the store was read because another box had them.
    struct CopyRead {
        uint64_t configuration = 0;
        uint64_t upstreams = 0;
    };

    void step(MonoTime now);
    void updateDuty(StoreDutyDecision duty, MonoTime now);
    void requestFromWatcher(MonoTime now);
    void requestFromPeers(MonoTime now);
    void catchUp(const std::string& from, const wire::KnowledgeReplyT& reply, bool askedChanges);
    void fetch(const std::string& from, bool changesOnly);
    void apply(const PeerUpdate& update);
    void addEvacuations(wire::KnowledgeReplyT& reply, MonoTime now) const;
    void applyEvacuations(const std::string& from, const wire::KnowledgeReplyT& reply);
    wire::KnowledgeAskT makeRequest(uint64_t round) const;
    KnownAges ages(MonoTime now) const;
    bool isOverdue(MonoTime now) const { return IsOverdue(m_settings.pacing, ages(now)); }
    bool isSeed() const;
    bool isIdle() const;

    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    ConfigurationState& m_configuration;
    UpstreamList& m_upstreams;
    EvacuationList& m_evacuations;
    StoreController& m_store;
    PeerMesh& m_mesh;
    PeerKnowledge m_knowledge;
    KnowledgeSpread m_spread;
    StoreDutyDecision m_duty;  // Of the last step.
    std::string m_watcher;     // The box that is asked in place of the store; empty: none.
    CopyRead m_copyRead;
    int m_repliesWithoutEvacuations =
        0;  // Of the watcher in a row, that told nothing of evacuations.
};

}  // namespace onyx
