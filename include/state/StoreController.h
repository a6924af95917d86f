// Follows the store. Owns a watch for each kind of objects (the configuration, the upstreams and,
// if enabled, the evacuations and the rollouts), logs whether the store is reachable, and applies
// the updates to the lists that own these objects. StorePacing decides when the store is
// called. The watches are paused while this box follows another one.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/observe/Metrics.h"
#include "include/state/ConfigurationState.h"
#include "include/state/EvacuationList.h"
#include "include/state/GatewaySettings.h"
#include "include/state/RolloutList.h"
#include "include/state/UpstreamList.h"
#include "include/store/StoreWatch.h"

#include <functional>
#include <map>
#include <memory>

namespace onyx {

// Not thread safe: one io_context.
class StoreController {
public:
    // Whether the store may be called now for objects of this kind.
    using MayCall = std::function<bool(ObjectKind)>;

    // Whether the rest of the list of upstreams is left to other boxes; see FirstListPolicy.
    using LeavesListToPeers = std::function<bool()>;

    // `facts`: returns the inputs of the store pacing; called each time that they are needed.
    // Preconditions: all arguments but `facts` outlive the controller.
    StoreController(asio::any_io_executor executor, const GatewaySettings& settings,
                    const Dialect& dialect, ConfigurationState& configuration,
                    UpstreamList& upstreams, EvacuationList& evacuations, RolloutList& rollouts,
                    Metrics& metrics, std::function<StorePacingInputs()> facts, MayCall mayCall,
                    LeavesListToPeers leavesListToPeers);

    // Begins to follow the store. Preconditions: called once.
    void start();

    // Makes the watches check again whether they may call the store. Called when calls may have
    // become allowed. Preconditions: start() was called.
    void wake();

    // Reads a copy of the store once, because another box has newer objects of this kind.
    // Preconditions: start() was called, and objects of this kind are watched.
    void readCopySoon(ObjectKind kind) { watchOf(kind).readCopySoon(); }

private:
    std::unique_ptr<StoreWatch> makeWatch(ObjectKind kind);
    StoreWatch& watchOf(ObjectKind kind) { return *m_watches.at(kind); }
    uint64_t knownRevision(ObjectKind kind) const;
    Millis watchWait(ObjectKind kind) const;
    Millis bound(ObjectKind kind) const;
    Millis pauseAfterChanges(ObjectKind kind) const;
    void replaceConnections(MonoTime silentAt);
    void noteRevision(ObjectKind of, uint64_t revision);
    void onUpdate(ObjectKind kind, const StoreUpdate& update);
    static void onReachable(ObjectKind kind, const std::string& why);
    void onCall(ObjectKind kind, const StoreCall& call);
    void applyConfiguration(const StoreUpdate& update);
    void applyUpstreams(const StoreUpdate& update);
    void applyEvacuations(const StoreUpdate& update);
    void applyRollouts(const StoreUpdate& update);
    bool isOlderCopy(const StoreUpdate& update, const StoredConfiguration& configuration) const;
    UpstreamChanges makeUpstreamChanges(const StoreUpdate& update) const;
    void recordUnreadable(const std::string& object, const std::string& why) const;

    asio::any_io_executor m_executor;
    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    ConfigurationState& m_configurationState;
    UpstreamList& m_upstreamList;
    EvacuationList& m_evacuationList;
    RolloutList& m_rolloutList;
    Metrics& m_metrics;
    std::function<StorePacingInputs()> m_pacingFacts;
    MayCall m_mayCall;
    LeavesListToPeers m_leavesListToPeers;
    std::map<ObjectKind, std::unique_ptr<StoreWatch>> m_watches;
};

}  // namespace onyx
