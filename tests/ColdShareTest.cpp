// Simulates the requests of a whole site to one cold upstream: many boxes, each with its own
// ColdShare, its own ColdUpstreams and its own view of the site. The scenario is an upstream that
// comes back cold while all boxes have more requests for it than it can handle.
#include "include/health/ColdUpstreams.h"
#include "include/placement/ColdShare.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace onyx;

namespace {

const Incarnation kUpstream{"i-cold", 1};
// The settings of the operators of the first site that uses this limit.
constexpr ColdLimit kLimit{8.9, 1.5, 5};
constexpr double kMaxPerSecond = 8.9 * 1.5 + 5;
constexpr Millis kStep = 10;
constexpr Millis kMaxDelay = 300;  // Between placement and arrival.

struct Box {
    std::string address;
    ColdShare share;
    ColdUpstreams cold;
};

struct SendRate {
    size_t mostInASecond = 0;
    double perSecond = 0;
};

class Site {
public:
    Site(size_t boxes, uint64_t seed) : m_random(seed) {
        for (size_t i = 0; i < boxes; ++i) {
            m_boxes.push_back(std::make_unique<Box>());
            m_boxes.back()->address = "10.0." + std::to_string(i) + ":1";
        }
        for (const auto& box : m_boxes) {
            discoverBoxes(*box, 1.0);
        }
        m_now = m_now + ColdShare::kDiscoveryTime;
    }

    size_t size() const { return m_boxes.size(); }
    Box& box(size_t i) { return *m_boxes.at(i); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    // Restarts the box, which then discovers each other box with probability `discoveredShare`.
    void restart(size_t i, double discoveredShare) {
        const std::string address = box(i).address;
        m_boxes.at(i) = std::make_unique<Box>();
        box(i).address = address;
        discoverBoxes(box(i), discoveredShare);
    }
    void discoverBoxes(Box& box, double discoveredShare) {
        std::vector<std::string> others;
        for (const auto& other : m_boxes) {
            if (other->address != box.address && uniform() < discoveredShare) {
                others.push_back(other->address);
            }
        }
        box.share.setLinked(others.size());
        box.share.setBoxes(box.address, std::move(others), m_now);
    }

    // In each step, every box has a request for the upstream, which stays cold.
    SendRate runFor(Millis time) {
        std::vector<Millis> arrivals;
        const MonoTime end = m_now + time;
        while (m_now < end) {
            for (const auto& box : m_boxes) {
                box->cold.note(kUpstream, 3000, m_now);
                if (maySendNow(*box)) {
                    box->cold.recordSend(kUpstream, m_now);
                    const auto delay = static_cast<Millis>(uniform() * kMaxDelay);
                    arrivals.push_back(m_now.ms + delay);
                }
            }
            m_now = m_now + kStep;
        }
        return measure(arrivals, time);
    }

private:
    bool maySendNow(const Box& box) const {
        return box.share.maySend(kUpstream.id, m_now) &&
               box.cold.waitBeforeSend(kUpstream, box.share.spacing(kLimit), m_now) == 0;
    }

    static SendRate measure(std::vector<Millis> arrivals, Millis time) {
        std::sort(arrivals.begin(), arrivals.end());
        SendRate rate;
        auto first = arrivals.begin();
        for (auto last = arrivals.begin(); last != arrivals.end(); ++last) {
            while (*last - *first >= 1000) {
                ++first;
            }
            rate.mostInASecond =
                std::max(rate.mostInASecond, static_cast<size_t>(last - first) + 1);
        }
        rate.perSecond = 1000.0 * static_cast<double>(arrivals.size()) / static_cast<double>(time);
        return rate;
    }

    std::mt19937_64 m_random;
    MonoTime m_now{100000};
    std::vector<std::unique_ptr<Box>> m_boxes;
};

}  // namespace

// Guards against a cold upstream that crashes under the requests of all boxes together.
TEST_CASE("All boxes together stay below a cold upstream's limit and use at least half its rate") {
    const size_t boxes = GENERATE(1, 2, 6, 73, 295, 340);
    const uint64_t seed = GENERATE(1, 2, 3);
    Site site(boxes, seed);
    const SendRate rate = site.runFor(10000);
    INFO("boxes " << boxes << " seed " << seed << ": " << rate.mostInASecond << " in a second, "
                  << rate.perSecond << " a second");
    CHECK(static_cast<double>(rate.mostInASecond) <= kMaxPerSecond);
    CHECK(rate.perSecond > kLimit.perSecond / 2);
}

TEST_CASE(
    "Restarted boxes, partial views and lost links do not exceed the limit of a cold upstream") {
    const size_t boxes = GENERATE(6, 73, 295, 340);
    const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    Site site(boxes, seed);
    site.runFor(1000);
    for (size_t i = 0; i < boxes; ++i) {
        const double outcome = site.uniform();
        if (outcome < 0.2) {
            site.restart(i, 0.9);
        } else if (outcome < 0.3) {
            site.box(i).share.setLinked(0);
        } else if (outcome < 0.6) {
            site.discoverBoxes(site.box(i), 0.8);
        }
    }
    const SendRate rate = site.runFor(10000);
    INFO("boxes " << boxes << " seed " << seed << ": " << rate.mostInASecond << " in a second, "
                  << rate.perSecond << " a second");
    CHECK(static_cast<double>(rate.mostInASecond) <= kMaxPerSecond);
}

TEST_CASE("A box that has just started or has no link sends no requests to a cold upstream") {
    ColdShare share;
    CHECK_FALSE(share.maySend("a", {0}));
    share.setBoxes("self", {}, {0});
    CHECK_FALSE(share.maySend("a", {ColdShare::kDiscoveryTime - 1}));
    CHECK(share.maySend("a", {ColdShare::kDiscoveryTime}));
    share.setBoxes("self", {"other"}, {5000});
    CHECK_FALSE(share.maySend("a", {5000}));
    share.setLinked(1);
    CHECK(share.maySend("a", {5000}));
}

TEST_CASE("A rate without a margin is planned at half of the limit") {
    ColdShare share;
    share.setBoxes("self", {}, {0});
    CHECK(share.spacing({10, 1.5, 5}) == 100);
    CHECK(share.spacing({10, 1, 0}) == 200);
    share.setBoxes("self", {"a", "b", "c", "d"}, {0});
    CHECK(share.spacing({10, 1.5, 5}) == 300);
}
