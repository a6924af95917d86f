// Synchronizes the store's contents between the boxes of a site. A reply carries the age of the
// sender's data and all evacuations, and on request the changes since a revision or the whole
// contents. Carries out the decisions of RefreshPlanner: which boxes this box queries,
// and whether it calls the store itself.
//
// Owns the pending queries. Relies on PeerMesh for the messages and on RefreshPlanner and
// PeerQueries for the rules. Applies replies to the configuration, the upstream list and the
// evacuation list.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/freshness/FirstListPolicy.h"
#include "include/freshness/PeerQueries.h"
#include "include/freshness/RefreshPlanner.h"
#include "include/peers/PeerMesh.h"
#include "include/peers/RolloutController.h"
#include "include/state/StoreController.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace onyx {

// The configuration and upstreams in the reply of another box, and the times as of which they are
// current on this box.
struct PeerUpdate {
    std::string from;  // The address of the other box.
    // The text of the configuration. Empty if the reply has none or it is no newer than this box's.
    std::string configuration;
    uint64_t version = 0;  // Version of the other box's configuration.
    MonoTime configurationAsOf;
    std::optional<UpstreamChanges> upstreams;  // Empty if the reply has none.
    uint64_t upstreamsRevision = 0;
    std::optional<MonoTime> upstreamsAsOf;  // Empty if the other box has no upstream list.
};

// The state that boxes synchronize with each other.
struct SyncedState {
    ConfigurationState& configuration;
    UpstreamList& upstreams;
    EvacuationList& evacuations;
    RolloutController& rollouts;
};

// Not thread safe: one io_context.
class PeerSync {
public:
    // Preconditions: all arguments, and the members of `synced`, outlive this object.
    PeerSync(const GatewaySettings& settings, const Dialect& dialect, const SyncedState& synced,
             StoreController& store, PeerMesh& mesh);

    // Queries other boxes until the process ends. Preconditions: called once; mesh and store were
    // started.
    Task<> run();

    // Replies to the query of the box at `from`. Preconditions: none.
    void onKnowledgeQuery(const std::string& from, const wire::KnowledgeAskT& ask);

    // Processes the reply of the box at `from`. Preconditions: none.
    void onKnowledgeReply(const std::string& from, const wire::KnowledgeReplyT& reply);

    // Called when a link to the box at `address` is established. Preconditions: none.
    void onLinked(const std::string& address);

    // Whether other boxes follow this box or are about to, so that its data must be recent.
    // Preconditions: none.
    bool watchesForOthers() const;

    // Whether this box normally relies on other boxes. Preconditions: none.
    bool reliesOnPeers() const { return m_refreshPlanner.reliesOnPeers(); }

    // Whether this box, which has read the first page of the list of upstreams, waits for another
    // box's list instead of reading on. Preconditions: none.
    bool leavesListToPeers();

    // Whether this box may call the store now for objects of this kind. Preconditions: none.
    bool mayCallStore(ObjectKind kind);

    // The boxes that judge the versions which are rolled out, and so receive the counts of this
    // one: the watcher that it follows, or in a small zone all linked boxes. Preconditions: none.
    std::vector<std::string> judgingPeers() const;

    // Whether this box currently relies on other boxes instead of calling the store.
    // Preconditions: none.
    bool following() const { return !m_storeCall.calls; }

private:
    // The highest version and revision for which a copy of the store was read because another box
    // had them.
    struct CopyRead {
        uint64_t configuration = 0;
        uint64_t upstreams = 0;
    };

    // Other boxes have newer upstreams than those of a revision that this box has.
    struct NewerUpstreams {
        uint64_t than = 0;
        MonoTime since;
    };

    void step(MonoTime now);
    void updateStoreCall(StoreCallDecision storeCall, MonoTime now);
    bool waitsForList(MonoTime now) const;
    void endWaitForList(MonoTime now);
    void queryWatcher(MonoTime now);
    void queryPeers(MonoTime now);
    void catchUpUpstreams(const std::string& from, uint64_t revision, bool requestedChanges);
    void catchUpConfiguration(const std::string& from, uint64_t version);
    bool mayFetchUpstreams(const std::string& from, MonoTime now);
    void fetch(const std::string& from, bool changesOnly);
    void apply(const PeerUpdate& update);
    void addEvacuations(wire::KnowledgeReplyT& reply, MonoTime now) const;
    void applyEvacuations(const std::string& from, const wire::KnowledgeReplyT& reply);
    void countMissingOrders(ObjectKind kind, bool told, const std::string& from,
                            const wire::KnowledgeReplyT& reply);
    wire::KnowledgeAskT makeQuery(uint64_t round) const;
    StateAges ages(MonoTime now) const;
    bool isOverdue(MonoTime now) const { return IsOverdue(m_settings.pacing, ages(now)); }
    bool isSeed() const;
    bool isIdle() const;

    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    ConfigurationState& m_configuration;
    UpstreamList& m_upstreams;
    EvacuationList& m_evacuations;
    RolloutController& m_rollouts;
    StoreController& m_store;
    PeerMesh& m_mesh;
    PeerQueries m_peerQueries;
    RefreshPlanner m_refreshPlanner;
    StoreCallDecision m_storeCall;  // The decision of the last step.
    std::string m_watcher;          // Address of the box that replaces the store; empty if none.
    CopyRead m_copyRead;
    std::optional<NewerUpstreams> m_newerUpstreams;
    FirstListPolicy m_firstList;
    bool m_waitedForList = false;  // As of the last step.
    ListSendLimit m_listSendLimit;
    // By kind of orders, consecutive replies of the watcher that did not tell them.
    std::map<ObjectKind, int> m_repliesWithoutOrders;
};

}  // namespace onyx
