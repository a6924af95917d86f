// The rollout of a new version of one service, as one box carries it out.
//
// Stages: the new version is first on trial (canary) with a small share of the requests. If its
// answers are good, all new requests go to it shortly before the deadline (promoting), so that what
// runs at the old version ends there; then the status becomes completed, on which the operators
// stop the old upstreams. If its answers are bad, it gets nothing from then on, and the status
// becomes rolled back.
//
// Inputs: the order and its status; the answers that this box and others have counted; how many
// upstreams of each version are ready; the stage of the box that this one follows. Owns the counts
// of answers and exposures. No box leads: each one decides from what it knows, and the first status
// that is written ends the rollout for all.
#pragma once

#include "include/rollout/CanaryShare.h"
#include "include/rollout/RolloutOrder.h"
#include "include/rollout/VersionComparison.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace onyx {

// What requests to the service may use.
enum class RolloutStage : uint8_t {
    kCanary,      // The old version, and the new one for a small share of the requests.
    kPromoting,   // The new version; what runs at the old one goes on.
    kCompleted,   // The new version; the upstreams of the old one are stopped.
    kRolledBack,  // The old version.
};

// Returns the stage's name in logs and metrics. Thread safety: any thread.
std::string_view RolloutStageName(RolloutStage stage);

// What a step depends on besides the order and the counts.
struct RolloutFacts {
    size_t targetReady = 0;  // Upstreams of the new version that take requests.
    size_t baseReady = 0;    // Of all other versions.
    bool current = false;    // This box's orders and statuses are up to date.
    bool judges = false;     // This box has the counts of others and may write the status.
};

// Not thread safe: one task owns it.
class ServiceRollout {
public:
    // `elapsed`: time since the order was given, as far as known, in milliseconds. `exposureLimit`
    // and `start`: as for CanaryShare. Preconditions: elapsed >= 0.
    ServiceRollout(RolloutOrder order, double exposureLimit, double start, Millis elapsed,
                   MonoTime now);

    // Applies a change of the order's status. Preconditions: `order` has the same target version.
    void update(const RolloutOrder& order);

    // Takes over an earlier time of the order from another box. Preconditions: elapsed >= 0.
    void noteElapsed(Millis elapsed, MonoTime now);

    // Takes over the stage of another box. `followed`: this box follows the other one, so it also
    // promotes with it; otherwise only a rollback counts. Preconditions: none.
    void noteStage(RolloutStage stage, bool followed);

    // Decides the stage anew and returns the status that should be written now, if any.
    // Preconditions: `now` does not decrease between calls.
    std::optional<RolloutState> step(const RolloutFacts& facts, MonoTime now);

    // Counts an answer of an upstream, given by the ShortHash of its id. Preconditions: none.
    void recordAnswer(const std::string& route, uint32_t upstream, bool isTarget, bool isBad);

    // Replaces the counts that another box has sent. Preconditions: none.
    void setPeerTally(const std::string& box, VersionTally tally);

    // Return the parts of the state. Preconditions: none.
    const RolloutOrder& order() const { return m_order; }
    RolloutStage stage() const { return m_stage; }
    VersionVerdict verdict() const { return m_verdict; }
    Millis elapsed(MonoTime now) const { return now - m_orderedAt; }
    // Returns whether the rollout was completed so long ago that the upstreams of the old version
    // have ended; others that are listed then belong to a later release.
    bool isOver(MonoTime now) const;
    const VersionTally& ownTally() const { return m_ownTally; }
    VersionTally pooledTally() const;
    CanaryShare& share() { return m_share; }
    const CanaryShare& share() const { return m_share; }

private:
    struct Snapshot {
        MonoTime at;
        VersionTally tally;
    };

    void judge(size_t targetUpstreams, MonoTime now);
    void decideStage(const RolloutFacts& facts, MonoTime now);
    bool mayPromote(const RolloutFacts& facts, MonoTime now) const;
    std::optional<RolloutState> statusToWrite(const RolloutFacts& facts, MonoTime now) const;

    RolloutOrder m_order;
    CanaryShare m_share;
    MonoTime m_orderedAt;
    RolloutStage m_stage = RolloutStage::kCanary;
    std::optional<MonoTime> m_promotedAt;
    std::optional<MonoTime> m_completedAt;  // When this box first knew of it.
    bool m_followedPromotes = false;        // The box that this one follows promotes.
    VersionVerdict m_verdict = VersionVerdict::kUndecided;
    VersionTally m_ownTally;
    std::map<std::string, VersionTally> m_peerTallies;  // By the box's address.
    std::deque<Snapshot> m_snapshots;                   // Of the pooled tally, oldest first.
};

}  // namespace onyx
