// Follows the store: owns the two watches and whether the store answers this box, and brings what
// they bring to the configuration and to the upstreams. When it calls the store is decided by
// StorePacing; while this box follows another one, the watches are paused.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/gateway/ConfigurationState.h"
#include "include/gateway/GatewaySettings.h"
#include "include/gateway/UpstreamList.h"
#include "include/observe/Metrics.h"
#include "include/store/StoreWatch.h"

#include <functional>
#include <memory>

namespace onyx {

// Not thread safe: one io_context.
class StoreController {
public:
    // `facts`: what the pace depends on, asked anew each time.
    // Preconditions: all arguments but `facts` outlive the controller.
    StoreController(asio::any_io_executor executor, const GatewaySettings& settings,
                    const Dialect& dialect, ConfigurationState& configuration,
                    UpstreamList& upstreams, Metrics& metrics,
                    std::function<StorePacingFacts()> facts, std::function<bool()> mayCall);

    // Begins to follow the store. Preconditions: called once.
    void start();

    // Calls may be allowed from now on that were not. Preconditions: start() was called.
    void wake();

    // Reads a copy of the store once: another box knows something newer of this kind.
    // Preconditions: as above.
    void readCopySoon(ObjectKind kind) { watchOf(kind).readCopySoon(); }

private:
    std::unique_ptr<StoreWatch> makeWatch(ObjectKind kind);
    StoreWatch& watchOf(ObjectKind kind) {
        return kind == ObjectKind::kConfiguration ? *m_configuration : *m_upstreams;
    }
    Millis watchWait(ObjectKind kind) const;
    Millis pauseAfterChanges(ObjectKind kind) const;
    void onUpdate(ObjectKind kind, const StoreUpdate& update);
    static void onReachable(ObjectKind kind, const std::string& why);
    void onCall(ObjectKind kind, const StoreCall& call);
    void takeConfiguration(const StoreUpdate& update);
    void takeUpstreams(const StoreUpdate& update);
    bool isBehind(const StoreUpdate& update, const StoredConfiguration& configuration) const;
    UpstreamChanges changesOf(const StoreUpdate& update) const;
    void noteUnreadable(const std::string& object, const std::string& why) const;

    asio::any_io_executor m_executor;
    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    ConfigurationState& m_configurationState;
    UpstreamList& m_upstreamList;
    Metrics& m_metrics;
    std::function<StorePacingFacts()> m_facts;
    std::function<bool()> m_mayCall;
    std::unique_ptr<StoreWatch> m_configuration;
    std::unique_ptr<StoreWatch> m_upstreams;
};

}  // namespace onyx
