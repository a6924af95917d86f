// Replays of rollouts on whole sites without network: boxes that see few answers each, boxes that
// judge, and a status that one of them writes. Checks the operators' bounds: the share of requests
// that a bad version gets, and that it gets none later than five seconds after its 50th bad answer.
#include "include/rollout/ServiceRollout.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace onyx;

namespace {

constexpr MonoTime kOrdered{1000000};
constexpr Millis kDuration = 12000;
constexpr Millis kStepMs = 100;
constexpr Millis kTargetReadyMs = 1500;  // After the order.
constexpr double kExposureLimit = 0.1;   // The operators' bounds.
constexpr size_t kExposureTolerance = 50;
constexpr size_t kBadAnswersBeforeBound = 50;
constexpr Millis kRollbackBoundMs = 5000;
constexpr uint32_t kTargetUpstreams = 60;
constexpr uint32_t kCanaries = 4;

// One answer of the new version, as the replayed fault decides on it.
struct TargetAnswer {
    int route = 0;          // 0 to 2.
    uint32_t upstream = 0;  // 1 to kTargetUpstreams.
    Millis time = 0;        // Since the order.
    bool underLoad = false;
    double chance = 0;  // A random number from 0 to 1.
};
using Fault = std::function<bool(const TargetAnswer&)>;

struct Site {
    size_t boxes = 6;
    double requestsPerSecond = 66;
    size_t judges = 6;  // The first boxes; each other box reports to one of them.
    bool judgesExchange = true;
    double baseBadShare = 0;  // Of the answers of the version in service.
};

// What came of a replayed rollout.
struct Outcome {
    size_t requests = 0;
    size_t exposures = 0;
    size_t lateExposures = 0;  // Later than the bound after the 50th bad answer.
    size_t badAnswers = 0;
    std::optional<RolloutState> state;  // Last written.
    Millis endedAt = 0;                 // Since the order.
};

class Replay {
public:
    Replay(const Site& site, Fault fault, uint32_t seed)
        : m_site(site), m_fault(std::move(fault)), m_random(seed) {
        m_order.service = ServiceId("model");
        m_order.targetVersion = "v2";
        m_order.duration = kDuration;
        m_order.revision = 1;
        for (size_t i = 0; i < site.boxes; ++i) {
            m_boxes.emplace_back(m_order, kExposureLimit, part(), 0, kOrdered);
        }
    }

    Outcome run() {
        for (Millis time = 0; time < kDuration; time += kStepMs) {
            serve(time);
            if (time % 300 == 0) {
                report();
            }
            step(time);
        }
        return m_outcome;
    }

private:
    double part() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void serve(Millis time) {
        const double mean = m_site.requestsPerSecond * kStepMs / 1000;
        const int count = std::poisson_distribution<int>(mean)(m_random);
        for (int i = 0; i < count; ++i) {
            serveOne(m_boxes[m_random() % m_boxes.size()], time);
        }
    }

    void serveOne(ServiceRollout& box, Millis time) {
        ++m_outcome.requests;
        const int route = static_cast<int>(m_random() % 3);
        const std::string name = "route-" + std::to_string(route);
        const bool canary = box.stage() == RolloutStage::kCanary && time >= kTargetReadyMs &&
                            box.share().admits("v2", HashPair(m_random() % 900, route));
        const bool all =
            box.stage() == RolloutStage::kPromoting || box.stage() == RolloutStage::kCompleted;
        box.share().record(canary || all);
        if (!canary && !all) {
            box.recordAnswer(name, 0, false, part() < m_site.baseBadShare);
            return;
        }
        const auto upstream =
            static_cast<uint32_t>(1 + m_random() % (all ? kTargetUpstreams : kCanaries));
        const bool bad = m_fault({route, upstream, time, all, part()});
        noteExposure(time, bad);
        box.recordAnswer(name, upstream, true, bad);
    }

    void noteExposure(Millis time, bool bad) {
        ++m_outcome.exposures;
        if (m_boundFrom && time > *m_boundFrom + kRollbackBoundMs) {
            ++m_outcome.lateExposures;
        }
        m_outcome.badAnswers += bad ? 1 : 0;
        if (!m_boundFrom && m_outcome.badAnswers >= kBadAnswersBeforeBound) {
            m_boundFrom = time;
        }
    }

    // Boxes that do not judge report to one that does; in a small site all boxes tell each other.
    void report() {
        for (size_t i = 0; i < m_boxes.size(); ++i) {
            const std::string name = "box-" + std::to_string(i);
            if (i >= m_site.judges) {
                m_boxes[i % m_site.judges].setPeerTally(name, m_boxes[i].ownTally());
                continue;
            }
            for (size_t j = 0; m_site.judgesExchange && j < m_site.judges; ++j) {
                if (j != i) {
                    m_boxes[j].setPeerTally(name, m_boxes[i].ownTally());
                }
            }
        }
    }

    void step(Millis time) {
        const MonoTime now = kOrdered + time;
        RolloutFacts facts;
        facts.targetReady = time >= kTargetReadyMs ? kTargetUpstreams : 0;
        facts.baseReady = kTargetUpstreams;
        facts.current = true;
        for (size_t i = 0; i < m_boxes.size(); ++i) {
            facts.judges = i < m_site.judges;
            if (!facts.judges && time % 400 == 0) {
                const ServiceRollout& judge = m_boxes[i % m_site.judges];
                m_boxes[i].update(judge.order());
                m_boxes[i].noteStage(judge.stage(), true);
            } else if (facts.judges) {
                m_boxes[i].update(m_order);
            }
            const auto status = m_boxes[i].step(facts, now);
            if (status && m_order.state() == RolloutState::kInProgress) {
                write(*status, time);
            }
        }
    }

    // The store takes the first status; the others see it at their next step.
    void write(RolloutState state, Millis time) {
        m_order.status = RolloutStatus{state, m_order.targetVersion};
        m_outcome.state = state;
        m_outcome.endedAt = time;
    }

    Site m_site;
    Fault m_fault;
    std::mt19937 m_random;
    RolloutOrder m_order;
    std::vector<ServiceRollout> m_boxes;
    Outcome m_outcome;
    std::optional<Millis> m_boundFrom;  // Time of the 50th bad answer.
};

// Sites of the sizes in use: all boxes of the smallest watch the store and tell each other what
// they counted; of the others a few boxes in each zone do.
const std::vector<Site> kSites = {{6, 66, 6, true, 0},
                                  {84, 577, 6, false, 0},
                                  {295, 1200, 10, false, 0},
                                  {985, 665, 15, false, 0}};

bool KeepsExposure(const Outcome& outcome) {
    const double limit = kExposureLimit * static_cast<double>(outcome.requests);
    return static_cast<double>(outcome.exposures) <= limit + kExposureTolerance;
}

}  // namespace

TEST_CASE("A good version is completed before the deadline on sites of all sizes") {
    const Site site = GENERATE(from_range(kSites));
    const uint32_t seed = GENERATE(1u, 2u, 3u, 4u, 5u);
    INFO(site.boxes << " boxes, seed " << seed);
    const Outcome outcome = Replay(
                                site, [](const TargetAnswer&) { return false; }, seed)
                                .run();
    CHECK(outcome.state == RolloutState::kCompleted);
    CHECK(outcome.endedAt < kDuration);
}

// Guards against the rollback of a good version on a day with other faults: both versions fail.
TEST_CASE("A good version is completed while both versions fail a fifth of their answers") {
    Site site = GENERATE(from_range(kSites));
    site.baseBadShare = 0.2;
    const uint32_t seed = GENERATE(1u, 2u, 3u);
    INFO(site.boxes << " boxes, seed " << seed);
    const Fault fault = [](const TargetAnswer& answer) { return answer.chance < 0.2; };
    CHECK(Replay(site, fault, seed).run().state == RolloutState::kCompleted);
}

// Guards against the rollback of a good version of which one upstream is faulty.
TEST_CASE("A good version with one faulty upstream is completed") {
    const Site site = GENERATE(from_range(kSites));
    const uint32_t seed = GENERATE(1u, 2u, 3u);
    INFO(site.boxes << " boxes, seed " << seed);
    const Fault fault = [](const TargetAnswer& answer) {
        return answer.upstream == 2 && answer.chance < 0.45;
    };
    CHECK(Replay(site, fault, seed).run().state == RolloutState::kCompleted);
}

// Guards against a bad version that gets more requests than the operators allow, or gets them for
// too long. The faults: part of all answers, those of one route, all after a while, and those under
// load, which show only once all requests have moved.
TEST_CASE("A bad version is rolled back within the operators' bounds on sites of all sizes") {
    const Site site = GENERATE(from_range(kSites));
    const uint32_t seed = GENERATE(1u, 2u, 3u, 4u, 5u);
    const auto [name, fault] = GENERATE(table<std::string, Fault>({
        {"failing", [](const TargetAnswer& a) { return a.chance < 0.4; }},
        {"one route", [](const TargetAnswer& a) { return a.route == 1 && a.chance < 0.5; }},
        {"late", [](const TargetAnswer& a) { return a.time > 5000 && a.chance < 0.4; }},
        {"under load", [](const TargetAnswer& a) { return a.underLoad && a.chance < 0.4; }},
    }));
    const Outcome outcome = Replay(site, fault, seed).run();
    INFO(site.boxes << " boxes, " << name << ", seed " << seed << ": " << outcome.exposures
                    << " exposures of " << outcome.requests << ", " << outcome.badAnswers
                    << " bad answers, ended after " << outcome.endedAt);
    CHECK(outcome.state == RolloutState::kRolledBack);
    CHECK(KeepsExposure(outcome));
    CHECK(outcome.lateExposures == 0);
}

TEST_CASE("A box without recent orders neither promotes a version nor writes a status") {
    RolloutOrder order;
    order.targetVersion = "v2";
    order.duration = kDuration;
    ServiceRollout rollout(order, kExposureLimit, 0.5, 0, kOrdered);
    for (int i = 0; i < 100; ++i) {
        rollout.recordAnswer("look", 1 + i % 4, true, false);
        rollout.recordAnswer("look", 0, false, false);
    }
    RolloutFacts facts{60, 60, false, true};
    CHECK_FALSE(rollout.step(facts, kOrdered + 11000));
    CHECK(rollout.stage() == RolloutStage::kCanary);
    facts.current = true;
    rollout.step(facts, kOrdered + 11100);
    CHECK(rollout.stage() == RolloutStage::kPromoting);
}

TEST_CASE("A version with too few upstreams is not promoted") {
    RolloutOrder order;
    order.targetVersion = "v2";
    order.duration = kDuration;
    ServiceRollout rollout(order, kExposureLimit, 0.5, 0, kOrdered);
    for (int i = 0; i < 100; ++i) {
        rollout.recordAnswer("look", 1 + i % 4, true, false);
    }
    rollout.step({29, 60, true, true}, kOrdered + 11000);
    CHECK(rollout.stage() == RolloutStage::kCanary);
    rollout.step({30, 60, true, true}, kOrdered + 11100);
    CHECK(rollout.stage() == RolloutStage::kPromoting);
}

// Guards against a box that restarts during a rollout and counts its time from its own start.
TEST_CASE("The time of an order is taken over from a box that has known it for longer") {
    RolloutOrder order;
    order.targetVersion = "v2";
    order.duration = kDuration;
    ServiceRollout rollout(order, kExposureLimit, 0.5, 0, kOrdered + 6000);
    rollout.noteElapsed(6100, kOrdered + 6100);
    CHECK(rollout.elapsed(kOrdered + 6100) == 6100);
    rollout.noteElapsed(10, kOrdered + 6200);
    CHECK(rollout.elapsed(kOrdered + 6200) == 6200);
}

TEST_CASE("A status about an earlier target version says nothing of the order") {
    RolloutOrder order;
    order.targetVersion = "v3";
    order.status = RolloutStatus{RolloutState::kCompleted, "v2"};
    CHECK(order.state() == RolloutState::kInProgress);
    order.status = RolloutStatus{RolloutState::kRolledBack, "v3"};
    CHECK(order.state() == RolloutState::kRolledBack);
}

// Guards against a release after a rollout whose upstreams get nothing, because they are not of the
// version that was rolled out.
TEST_CASE("A completed rollout binds requests only until the old upstreams have ended") {
    RolloutOrder order;
    order.targetVersion = "v2";
    order.duration = kDuration;
    order.status = RolloutStatus{RolloutState::kCompleted, "v2"};
    ServiceRollout rollout(order, kExposureLimit, 0.5, 0, kOrdered);
    rollout.step({60, 60, true, true}, kOrdered);
    CHECK(rollout.stage() == RolloutStage::kCompleted);
    CHECK_FALSE(rollout.isOver(kOrdered + 9999));
    CHECK(rollout.isOver(kOrdered + 10000));
}
