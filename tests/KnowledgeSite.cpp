#include "tests/KnowledgeSite.h"

#include "include/freshness/StateAge.h"

#include <algorithm>

namespace onyx {

namespace {

constexpr Millis kStepPeriod = 100;  // As PeerSync's.
constexpr Millis kWay = 2;           // Between any two boxes, and to the store.
constexpr Millis kAnswer = 4;        // Of the store.
constexpr size_t kDialed = 16;       // As PeerMesh's.
constexpr size_t kSeeds = 3;

}  // namespace

// One life of a box, or what is left of it.
struct KnowledgeSite::Box {
    size_t index = 0;
    uint64_t life = 0;
    bool runs = false;
    std::unique_ptr<RefreshPlanner> spread;
    PeerQueries questions;
    StoreCallDecision duty;
    std::optional<MonoTime> asOf[2];     // Of the configuration and of the list of upstreams.
    bool waiting[2] = {false, false};    // For a call to be allowed.
    bool confirmed[2] = {false, false};  // Since it began to call.
    Millis pause[2] = {0, 0};
};

KnowledgeSite::KnowledgeSite(KnowledgeSiteSize size, uint64_t seed) : m_size(size), m_random(seed) {
    const FollowerBounds bounds = FitFollowers(size.drainBound, size.freshLimit, m_pacing);
    m_pacing.configurationWait = ConfigurationWait(size.freshLimit);
    m_settings.followPeriod = m_pacing.followPeriod;
    m_settings.duty.peerQueryAge = m_settings.delegation.maxFreshAge = bounds.peerQueryAge;
    m_settings.duty.maxAge = bounds.maxAge;
    for (size_t i = 0; i < size.boxes; ++i) {
        m_names.push_back("10.0.0." + std::to_string(1000 + i) + ":1");
        m_byName[m_names.back()] = i;
    }
    m_zoneOrders.resize(size.zones);
    for (size_t i = 0; i < size.boxes; ++i) {
        BoxDirectory directory({m_names[i], std::to_string(zoneOf(i))}, kDialed);
        for (size_t j = 0; j < size.boxes; ++j) {
            directory.learn({m_names[j], std::to_string(zoneOf(j))}, m_now);
        }
        std::vector<std::string> neighbours;
        std::copy_if(m_names.begin(), m_names.end(), std::back_inserter(neighbours),
                     [&](const std::string& name) { return directory.isNeighbour(name); });
        std::sort(neighbours.begin(), neighbours.end());
        m_neighbours.push_back(std::move(neighbours));
        m_zoneOrders[zoneOf(i)] = directory.zoneOrder();
        m_boxes.push_back(std::make_unique<Box>());
        m_boxes.back()->index = i;
        start(i);
    }
}

KnowledgeSite::~KnowledgeSite() = default;

Millis KnowledgeSite::between(Millis least, Millis most) {
    return std::uniform_int_distribution<Millis>(least, most)(m_random);
}

void KnowledgeSite::at(Millis delay, Action action) {
    m_events.push({m_now + delay, ++m_order, std::move(action)});
}

void KnowledgeSite::play(Millis time) {
    const MonoTime until = m_now + time;
    while (!m_events.empty() && m_events.top().time <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = until;
}

void KnowledgeSite::start(size_t i) {
    Box& box = *m_boxes[i];
    const uint64_t life = box.life + 1;
    box = Box{};
    box.index = i;
    box.life = life;
    box.runs = true;
    box.spread = std::make_unique<RefreshPlanner>(m_settings, m_now, m_random());
    m_copies += 2;
    at(between(0, kStepPeriod), [this, i] { step(i); });
    for (const int kind : {0, 1}) {
        at(kAnswer, [this, i, kind] { callStore(i, kind); });
    }
}

std::optional<Millis> KnowledgeSite::ageOf(const Box& box) const {
    if (!box.asOf[0] || !box.asOf[1]) {
        return std::nullopt;
    }
    return m_now - std::min(*box.asOf[0], *box.asOf[1]);
}

StorePacingInputs KnowledgeSite::factsOf(const Box& box) const {
    const bool canServe = box.asOf[0] && m_now - *box.asOf[0] <= m_size.freshLimit;
    return {box.spread->watchesForOthers(m_now), box.spread->reliesOnPeers(), canServe,
            m_size.boxes};
}

void KnowledgeSite::step(size_t i) {
    Box& box = *m_boxes[i];
    const uint64_t life = box.life;
    if (!box.runs) {
        return;
    }
    const auto age = ageOf(box);
    m_oldest = std::max(m_oldest, age.value_or(0));
    std::vector<std::string> linked = m_neighbours[i];
    const std::vector<std::string>& zone = m_zoneOrders[zoneOf(i)];
    linked.push_back(zone.front());  // Links that are kept to watchers, past and present.
    linked.push_back(zone[1]);
    for (size_t seed = 0; seed < kSeeds; ++seed) {
        linked.push_back(m_names[seed]);
    }
    std::sort(linked.begin(), linked.end());
    linked.erase(std::unique(linked.begin(), linked.end()), linked.end());
    std::erase_if(linked, [&](const std::string& name) {
        return m_byName[name] == i || !m_boxes[m_byName[name]]->runs;
    });
    std::optional<Millis> ages[2];
    for (const int kind : {0, 1}) {
        ages[kind] = box.asOf[kind] ? std::optional(m_now - *box.asOf[kind]) : std::nullopt;
    }
    RefreshInputs around{zone, m_names[i], linked};
    around.boxes = m_size.boxes;
    around.isSeed = i < kSeeds;
    around.age = age;
    around.overdue = IsOverdue(m_pacing, {ages[0], ages[1]});
    const RefreshPlan step = box.spread->step(around, m_now);
    box.duty = step.duty;
    if (step.queriesWatcher) {
        ask(i, m_byName[step.watcher], true);
    }
    if (step.queriesPeers) {
        for (const std::string& name : box.questions.nextPeers(linked)) {
            ask(i, m_byName[name], false);
        }
    }
    for (const int kind : {0, 1}) {
        if (box.duty.calls && box.waiting[kind]) {
            box.waiting[kind] = false;
            box.confirmed[kind] = false;
            callStore(i, kind);
        }
    }
    at(kStepPeriod, [this, i, life] {
        if (m_boxes[i]->life == life) {
            this->step(i);
        }
    });
}

void KnowledgeSite::ask(size_t from, size_t to, bool follows) {
    const MonoTime sent = m_now;
    const uint64_t life = m_boxes[from]->life;
    at(kWay, [this, from, to, follows, sent, life] {
        Box& asked = *m_boxes[to];
        if (!asked.runs) {
            return;
        }
        if (follows) {
            asked.spread->noteFollowerQuery(m_now);
        }
        const auto age = ageOf(asked);
        at(kWay, [this, from, to, sent, age, life] {
            Box& box = *m_boxes[from];
            if (!box.runs || box.life != life) {
                return;
            }
            if (age) {
                for (auto& asOf : box.asOf) {
                    asOf = std::max(asOf.value_or(MonoTime{}), sent - *age);
                }
            }
            box.spread->replied(m_names[to], age, ageOf(box), m_now);
        });
    });
}

void KnowledgeSite::callStore(size_t i, int kind) {
    Box& box = *m_boxes[i];
    if (!box.runs) {
        return;
    }
    if (!box.spread->mayCall(ageOf(box), m_now)) {
        box.waiting[kind] = true;
        return;
    }
    const uint64_t life = box.life;
    ++m_calls;
    const MonoTime sent = m_now;
    if (m_refused.contains(i)) {
        box.pause[kind] = PauseAfterFailure(box.pause[kind], factsOf(box));
        at(kAnswer + between(box.pause[kind] / 2, box.pause[kind]), [this, i, kind, life] {
            if (m_boxes[i]->life == life) {
                callStore(i, kind);
            }
        });
        return;
    }
    const Millis wait = kind == 0 ? m_pacing.configurationWait : m_pacing.upstreamWait;
    const Millis most = WatchWait(m_pacing, factsOf(box), wait);
    const Millis held = box.confirmed[kind] ? (kind == 0 ? StaggeredWait(most, m_random()) : most)
                                            : std::min(kMinWatchWaitMs, most);
    at(kAnswer + held, [this, i, kind, life, sent, held] {
        Box& answered = *m_boxes[i];
        if (!answered.runs || answered.life != life) {
            return;
        }
        answered.pause[kind] = 0;
        answered.confirmed[kind] = true;
        answered.asOf[kind] = std::max(answered.asOf[kind].value_or(MonoTime{}), sent + held);
        callStore(i, kind);
    });
}

size_t KnowledgeSite::olderThan(Millis limit) const {
    return static_cast<size_t>(std::count_if(m_boxes.begin(), m_boxes.end(), [&](const auto& box) {
        return box->runs && ageOf(*box).value_or(limit + 1) > limit;
    }));
}

Millis KnowledgeSite::takeOldest() {
    return std::exchange(m_oldest, 0);
}

void KnowledgeSite::refuse(const std::function<bool(size_t box)>& refused) {
    for (size_t i = 0; i < m_size.boxes; ++i) {
        if (refused(i)) {
            m_refused.insert(i);
        }
    }
}

void KnowledgeSite::kill(const std::vector<size_t>& boxes, Millis down) {
    for (const size_t i : boxes) {
        m_boxes[i]->runs = false;
        ++m_boxes[i]->life;
        at(down, [this, i] { start(i); });
    }
}

std::vector<size_t> KnowledgeSite::watchers() const {
    std::vector<size_t> watchers;
    for (const auto& box : m_boxes) {
        if (box->runs && box->duty.reason == StoreCallReason::kWatcher) {
            watchers.push_back(box->index);
        }
    }
    return watchers;
}

}  // namespace onyx
