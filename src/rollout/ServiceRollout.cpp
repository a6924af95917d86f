#include "include/rollout/ServiceRollout.h"

#include <algorithm>
#include <utility>

namespace onyx {

namespace {

// The status becomes completed after this part of the time that the order allows. The rest is for
// a store that is slow or does not answer.
constexpr double kCompleteAtShare = 0.85;
// All requests go to the new version for this long before, in milliseconds and at most this part of
// the time allowed: most streams at the old version end within it.
constexpr Millis kMaxPromoteMs = 3000;
constexpr double kPromoteShare = 0.3;
// The new version must have this part of the old one's upstreams before it gets all requests.
constexpr double kMinCapacity = 0.5;
// Answers of this last time, in milliseconds, are compared by themselves as well.
constexpr Millis kRecentMs = 2000;
constexpr Millis kSnapshotPeriodMs = 500;
// The old version's upstreams have ended by then, and have left the list of upstreams.
constexpr Millis kOldVersionEndMs = 10000;

Millis PartOf(Millis time, double part) {
    return static_cast<Millis>(static_cast<double>(time) * part);
}

Millis CompleteAfter(Millis duration) {
    return PartOf(duration, kCompleteAtShare);
}

Millis PromoteTime(Millis duration) {
    return std::min(kMaxPromoteMs, PartOf(duration, kPromoteShare));
}

}  // namespace

std::string_view RolloutStateName(RolloutState state) {
    switch (state) {
        case RolloutState::kInProgress:
            return "in-progress";
        case RolloutState::kCompleted:
            return "completed";
        case RolloutState::kRolledBack:
            return "rolled-back";
    }
    return "invalid";
}

std::string_view RolloutStageName(RolloutStage stage) {
    switch (stage) {
        case RolloutStage::kCanary:
            return "canary";
        case RolloutStage::kPromoting:
            return "promoting";
        case RolloutStage::kCompleted:
            return "completed";
        case RolloutStage::kRolledBack:
            return "rolled-back";
    }
    return "invalid";
}

ServiceRollout::ServiceRollout(RolloutOrder order, double exposureLimit, double start,
                               Millis elapsed, MonoTime now)
    : m_order(std::move(order)), m_share(exposureLimit, start), m_orderedAt(now - elapsed) {}

void ServiceRollout::update(const RolloutOrder& order) {
    m_order = order;
}

void ServiceRollout::noteElapsed(Millis elapsed, MonoTime now) {
    m_orderedAt = std::min(m_orderedAt, now - elapsed);
}

void ServiceRollout::noteStage(RolloutStage stage, bool followed) {
    if (stage == RolloutStage::kRolledBack) {
        m_verdict = VersionVerdict::kBad;
    }
    if (followed) {
        m_followedPromotes = stage == RolloutStage::kPromoting;
    }
}

std::optional<RolloutState> ServiceRollout::step(const RolloutFacts& facts, MonoTime now) {
    judge(facts.targetReady, now);
    decideStage(facts, now);
    return statusToWrite(facts, now);
}

void ServiceRollout::recordAnswer(const std::string& route, uint32_t upstream, bool isTarget,
                                  bool isBad) {
    AnswerCounts& counts = isTarget ? m_ownTally.target[{route, upstream}] : m_ownTally.base[route];
    ++(isBad ? counts.bad : counts.good);
}

void ServiceRollout::setPeerTally(const std::string& box, VersionTally tally) {
    m_peerTallies[box] = std::move(tally);
}

VersionTally ServiceRollout::pooledTally() const {
    VersionTally pooled = m_ownTally;
    for (const auto& [box, tally] : m_peerTallies) {
        pooled.add(tally);
    }
    return pooled;
}

// A version that was found bad stays bad.
void ServiceRollout::judge(size_t targetUpstreams, MonoTime now) {
    if (m_verdict == VersionVerdict::kBad || m_order.state() != RolloutState::kInProgress) {
        return;
    }
    VersionTally pooled = pooledTally();
    while (m_snapshots.size() > 1 && now - m_snapshots[1].at >= kRecentMs) {
        m_snapshots.pop_front();
    }
    const VersionTally earlier = m_snapshots.empty() ? VersionTally() : m_snapshots.front().tally;
    m_verdict = CompareVersions(pooled, pooled.since(earlier), targetUpstreams);
    if (m_snapshots.empty() || now - m_snapshots.back().at >= kSnapshotPeriodMs) {
        m_snapshots.push_back({now, std::move(pooled)});
    }
}

void ServiceRollout::decideStage(const RolloutFacts& facts, MonoTime now) {
    if (m_order.state() == RolloutState::kCompleted) {
        m_stage = RolloutStage::kCompleted;
        m_completedAt = m_completedAt.value_or(now);
    } else if (m_order.state() == RolloutState::kRolledBack || m_verdict == VersionVerdict::kBad) {
        m_stage = RolloutStage::kRolledBack;
    } else if (mayPromote(facts, now)) {
        m_stage = RolloutStage::kPromoting;
        m_promotedAt = m_promotedAt.value_or(now);
    } else {
        m_stage = RolloutStage::kCanary;
        m_promotedAt.reset();
    }
}

bool ServiceRollout::isOver(MonoTime now) const {
    return m_completedAt && now - *m_completedAt >= kOldVersionEndMs;
}

bool ServiceRollout::mayPromote(const RolloutFacts& facts, MonoTime now) const {
    const bool enoughUpstreams =
        facts.targetReady > 0 && static_cast<double>(facts.targetReady) >=
                                     kMinCapacity * static_cast<double>(facts.baseReady);
    if (!enoughUpstreams || !facts.current) {
        return false;
    }
    const Millis promoteAfter = CompleteAfter(m_order.duration) - PromoteTime(m_order.duration);
    const bool isDue = m_verdict == VersionVerdict::kGood && elapsed(now) >= promoteAfter;
    return facts.judges ? isDue : m_followedPromotes;
}

std::optional<RolloutState> ServiceRollout::statusToWrite(const RolloutFacts& facts,
                                                          MonoTime now) const {
    if (m_order.state() != RolloutState::kInProgress || !facts.current || !facts.judges) {
        return std::nullopt;
    }
    if (m_stage == RolloutStage::kRolledBack) {
        return RolloutState::kRolledBack;
    }
    const bool promoted = m_stage == RolloutStage::kPromoting && m_promotedAt &&
                          now - *m_promotedAt >= PromoteTime(m_order.duration);
    if (promoted) {
        return RolloutState::kCompleted;
    }
    const bool hasStatus = m_order.status && m_order.status->targetVersion == m_order.targetVersion;
    return hasStatus ? std::nullopt : std::optional<RolloutState>(RolloutState::kInProgress);
}

}  // namespace onyx
