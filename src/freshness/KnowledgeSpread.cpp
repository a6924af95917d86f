#include "include/freshness/KnowledgeSpread.h"

#include <algorithm>

namespace onyx {

namespace {

// In milliseconds. A follower that did not ask for this long is gone: some five of its periods.
constexpr Millis kFollowerTimeout = 3000;

}  // namespace

KnowledgeStep KnowledgeSpread::step(const KnowledgeSurroundings& around, MonoTime now) {
    const auto linked = [&](const std::string& address) {
        return std::binary_search(around.linked.begin(), around.linked.end(), address);
    };
    KnowledgeStep step;
    step.watcher = m_delegation.choose(around.zoneOrder, around.self, linked, now);
    step.keepLinked = m_delegation.preferred(around.zoneOrder, around.self);
    noteFacts(around, now);
    step.duty = m_duty.decide(m_facts, now);
    if (!step.watcher.empty() && now - m_askedWatcher >= m_settings.followPeriod) {
        m_askedWatcher = now;
        step.asksWatcher = true;
    }
    const Millis period = around.age ? kAskPeriod : kFirstAskPeriod;
    if (wantsOthers(around) && now - m_askedOthers >= period) {
        m_askedOthers = now;
        step.asksOthers = true;
    }
    return step;
}

void KnowledgeSpread::noteFacts(const KnowledgeSurroundings& around, MonoTime now) {
    const bool discovered = now - m_started >= m_settings.discoveryTime;
    const bool fewBoxes = around.zoneOrder.size() < m_settings.delegation.minBoxes;
    m_facts.isWatcher = m_delegation.isWatcher();
    m_facts.discovered = discovered;
    m_facts.inSmallZone = discovered && fewBoxes;
    m_facts.isSeed = around.isSeed;
    m_facts.idle = around.idle;
    m_facts.rank = m_delegation.rank();
    m_facts.links = around.linked.size();
    m_facts.boxes = around.boxes;
    m_facts.age = around.age;
}

// Where every box watches, others are asked once the store does not answer; in large zones already
// when knowledge is older than a watcher lets it get, by the watcher itself too.
bool KnowledgeSpread::wantsOthers(const KnowledgeSurroundings& around) const {
    if (m_facts.inSmallZone) {
        return around.overdue;
    }
    return around.overdue || !around.age || *around.age > m_settings.duty.askAge;
}

bool KnowledgeSpread::mayCall(std::optional<Millis> age, MonoTime now) {
    m_facts.age = age;
    return m_duty.decide(m_facts, now).calls;
}

void KnowledgeSpread::replied(const std::string& from, std::optional<Millis> theirs,
                              std::optional<Millis> own, MonoTime now) {
    m_duty.noteAnswer(from, theirs, now);
    m_delegation.replied(from, theirs, own, now);
}

bool KnowledgeSpread::watchesForOthers(MonoTime now) const {
    const bool isFollowed = m_followedAt && now - *m_followedAt <= kFollowerTimeout;
    return m_facts.isWatcher || isFollowed || (m_facts.isSeed && !m_facts.discovered);
}

}  // namespace onyx
