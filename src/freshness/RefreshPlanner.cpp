#include "include/freshness/RefreshPlanner.h"

#include <algorithm>

namespace onyx {

namespace {

// A follower that has not sent a query for this long is gone: about five of its periods.
constexpr Millis kFollowerTimeoutMs = 3000;

}  // namespace

RefreshPlan RefreshPlanner::step(const RefreshInputs& inputs, MonoTime now) {
    const auto linked = [&](const std::string& address) {
        return std::binary_search(inputs.linked.begin(), inputs.linked.end(), address);
    };
    RefreshPlan step;
    step.watcher = m_watcherSelector.choose(inputs.zoneOrder, inputs.self, linked, now);
    step.keepLinked = m_watcherSelector.preferred(inputs.zoneOrder, inputs.self);
    updateCallInputs(inputs, now);
    step.storeCall = m_storeCallPolicy.decide(m_callInputs, now);
    if (!step.watcher.empty() && now - m_watcherQueriedAt >= m_settings.followPeriod) {
        m_watcherQueriedAt = now;
        step.queriesWatcher = true;
    }
    const Millis period = inputs.age ? kPeerQueryPeriodMs : kFirstPeerQueryPeriodMs;
    if (shouldQueryPeers(inputs) && now - m_peersQueriedAt >= period) {
        m_peersQueriedAt = now;
        step.queriesPeers = true;
    }
    return step;
}

void RefreshPlanner::updateCallInputs(const RefreshInputs& inputs, MonoTime now) {
    const bool discovered = now - m_started >= m_settings.discoveryTime;
    const bool fewBoxes = inputs.zoneOrder.size() < m_settings.watcherSelector.minBoxes;
    m_callInputs.isWatcher = m_watcherSelector.isWatcher();
    m_callInputs.discovered = discovered;
    m_callInputs.inSmallZone = discovered && fewBoxes;
    m_callInputs.isSeed = inputs.isSeed;
    m_callInputs.idle = inputs.idle;
    m_callInputs.rank = m_watcherSelector.rank();
    m_callInputs.links = inputs.linked.size();
    m_callInputs.boxes = inputs.boxes;
    m_callInputs.age = inputs.age;
}

// In a small zone, where every box watches the store, peers are queried once the store is overdue.
// In a large zone every box, watchers included, also queries them when its state is older than a
// watcher lets it get.
bool RefreshPlanner::shouldQueryPeers(const RefreshInputs& inputs) const {
    if (m_callInputs.inSmallZone) {
        return inputs.overdue;
    }
    return inputs.overdue || !inputs.age || *inputs.age > m_settings.storeCall.peerQueryAge;
}

bool RefreshPlanner::mayCall(std::optional<Millis> age, MonoTime now) {
    m_callInputs.age = age;
    return m_storeCallPolicy.decide(m_callInputs, now).calls;
}

void RefreshPlanner::noteReply(const std::string& from, std::optional<Millis> theirs,
                               std::optional<Millis> own, MonoTime now) {
    m_storeCallPolicy.noteReply(from, theirs, now);
    m_watcherSelector.noteReply(from, theirs, own, now);
}

bool RefreshPlanner::watchesForOthers(MonoTime now) const {
    const bool isFollowed = m_followedAt && now - *m_followedAt <= kFollowerTimeoutMs;
    return m_callInputs.isWatcher || isFollowed ||
           (m_callInputs.isSeed && !m_callInputs.discovered);
}

}  // namespace onyx
