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
                    std::function<StorePacingFacts()> facts);

    // Begins to follow the store. Preconditions: called once.
    void start();

    // Whether the store answers this box, by its last calls. Preconditions: none.
    bool answers() const { return m_configuration.answers && m_upstreams.answers; }

    // Stops watching while another box is followed, or goes on. Preconditions: start() was called.
    void setFollowing(bool following);

    // Lists once: another box knows something newer of this kind. Preconditions: as above.
    void refresh(ObjectKind kind) { watchOf(kind).refresh(); }

private:
    // One kind of objects.
    struct Followed {
        std::unique_ptr<StoreWatch> watch;
        bool answers = false;  // The store answered the last call.
    };

    std::unique_ptr<StoreWatch> makeWatch(ObjectKind kind);
    Followed& followed(ObjectKind kind) {
        return kind == ObjectKind::kConfiguration ? m_configuration : m_upstreams;
    }
    StoreWatch& watchOf(ObjectKind kind) { return *followed(kind).watch; }
    Millis watchWait(ObjectKind kind) const;
    Millis pauseAfterChanges(ObjectKind kind) const;
    void onUpdate(ObjectKind kind, const StoreUpdate& update);
    void onReachable(ObjectKind kind, const std::string& why);
    void takeConfiguration(const StoreUpdate& update);
    void takeUpstreams(const StoreUpdate& update);
    UpstreamChanges changesOf(const StoreUpdate& update) const;

    asio::any_io_executor m_executor;
    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    ConfigurationState& m_configurationState;
    UpstreamList& m_upstreamList;
    Metrics& m_metrics;
    std::function<StorePacingFacts()> m_facts;
    Followed m_configuration;
    Followed m_upstreams;
};

}  // namespace onyx
