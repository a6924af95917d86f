// Carries out the rollouts of this site's services on this box: tells placement which versions a
// request may be sent to, counts the answers of both versions, sends the counts to the boxes that
// judge, and writes the status of a rollout to the store.
//
// Owns the ServiceRollouts and the calls that write a status. Relies on RolloutList for the orders,
// on UpstreamList for the versions, and on the module rollout for all decisions.
#pragma once

#include "include/dialect/Dialect.h"
#include "include/net/HttpClient.h"
#include "include/placement/VersionRule.h"
#include "include/rollout/AnswerQuality.h"
#include "include/rollout/ServiceRollout.h"
#include "include/rollout/VersionCensus.h"
#include "include/state/GatewaySettings.h"
#include "include/state/RolloutList.h"
#include "include/state/UpstreamList.h"
#include "include/wire/FrameCodec.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace onyx {

// An answer, as far as it says something about the version of its upstream.
struct ObservedAnswer {
    const Upstream& upstream;
    const std::string& route;
    AttemptEnd end = AttemptEnd::kUnclear;
    // Time to the first byte in milliseconds; empty if it cannot be compared with others.
    std::optional<Millis> latency;
};

// Not thread safe: one io_context.
class RolloutController {
public:
    struct Sink {
        // Whether this box judges versions: it calls the store and receives the counts of others.
        std::function<bool()> judges;
        // Sends this box's counts to the boxes that judge.
        std::function<void(const wire::RolloutReportsT&)> sendReports;
    };

    // Preconditions: all arguments outlive the controller.
    RolloutController(asio::io_context& io, const GatewaySettings& settings, const Dialect& dialect,
                      const UpstreamList& upstreams, RolloutList& rollouts, Metrics& metrics,
                      Sink sink);

    // Follows the rollouts until the process ends. Preconditions: called once.
    Task<> run();

    // Returns the versions to which a request may be sent. `promptHash`: see CanaryShare.
    // `mayTry`: the request may go to a version that is on trial. Preconditions: `now` does not
    // decrease between calls.
    VersionRule ruleFor(const ServiceId& service, uint64_t promptHash, bool mayTry, MonoTime now);

    // Returns whether a stream that `version` began may go on there: not if that version was rolled
    // back. Preconditions: as for ruleFor().
    bool mayContinue(const ServiceId& service, const std::string& version, MonoTime now);

    // Counts a request that is sent to an upstream. Preconditions: none.
    void recordSend(const Upstream& upstream);
    // Counts an answer. Preconditions: none.
    void recordAnswer(const ObservedAnswer& answer);

    // Adds the orders to a reply to another box. Preconditions: none.
    void addTo(wire::KnowledgeReplyT& reply, MonoTime now) const;
    // Applies the orders in the reply of another box. `asOf`: the time up to which they are
    // complete, empty if unknown. `followed`: this box follows the other one.
    // Preconditions: `now` does not decrease between calls.
    void applyReply(const wire::KnowledgeReplyT& reply, std::optional<MonoTime> asOf, bool followed,
                    MonoTime now);
    // Takes in the counts of the box at `from`. Preconditions: none.
    void onReports(const std::string& from, const wire::RolloutReportsT& reports);

private:
    // A status that is to be written at `at`, unless another box has written one by then.
    struct PendingStatus {
        RolloutState state = RolloutState::kInProgress;
        MonoTime at;
    };

    bool isEnabled() const { return m_settings.rollout.exposureLimit > 0; }
    bool isCurrent(MonoTime now) const;
    void refresh(MonoTime now);
    void step(MonoTime now);
    RolloutFacts factsFor(const ServiceRollout& rollout, MonoTime now) const;
    std::set<std::string> canaryIds(const ServiceRollout& rollout) const;
    VersionRule ruleInRollout(ServiceRollout& rollout, uint64_t promptHash, bool mayTry,
                              MonoTime now);
    void logStage(const ServiceRollout& rollout, RolloutStage before);
    void planStatus(const ServiceRollout& rollout, std::optional<RolloutState> state, MonoTime now);
    Task<> writeStatus(RolloutOrder order, RolloutStatus status);
    void sendReports(MonoTime now);

    asio::io_context& m_io;
    const GatewaySettings& m_settings;
    const Dialect& m_dialect;
    const UpstreamList& m_upstreams;
    RolloutList& m_list;
    Metrics& m_metrics;
    Sink m_sink;
    HttpClient m_client;
    std::map<ServiceId, ServiceRollout> m_rollouts;
    std::map<ServiceId, PendingStatus> m_pending;
    std::map<ServiceId, std::shared_ptr<const std::set<std::string>>> m_canaries;
    VersionCensus m_census;
    LatencyReference m_latency;
    uint64_t m_countedRevision = 0;  // Of the list of upstreams, at the last count of versions.
    bool m_writing = false;          // A call that writes a status is under way.
    MonoTime m_reportedAt;
    std::minstd_rand m_random{std::random_device{}()};
};

}  // namespace onyx
