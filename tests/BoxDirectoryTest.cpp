#include "include/membership/BoxDirectory.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace onyx;

namespace {

constexpr size_t kMostDialed = 16;

KnownBox BoxOf(size_t number, const std::string& zone = "z") {
    return {"10.0.0." + std::to_string(number) + ":70", zone};
}

// The directories of `count` boxes that know each other.
std::vector<BoxDirectory> Site(size_t count) {
    std::vector<BoxDirectory> site;
    for (size_t i = 0; i < count; ++i) {
        site.emplace_back(BoxOf(i), kMostDialed);
        for (size_t other = 0; other < count; ++other) {
            site.back().learn(BoxOf(other), {0});
        }
    }
    return site;
}

}  // namespace

// Found in the logs of a site of 85 boxes: each new link told all boxes to all links, 0.7 GB in a
// minute.
TEST_CASE("A box is told on once, and again only when its zone becomes known") {
    BoxDirectory boxes(BoxOf(0), kMostDialed);
    boxes.learn(BoxOf(1, ""), {1});
    boxes.learn(BoxOf(2), {1});
    CHECK(boxes.takeNewcomers() == std::vector<KnownBox>{BoxOf(1, ""), BoxOf(2)});
    boxes.learn(BoxOf(2), {2});
    boxes.heard(BoxOf(2), {3});
    boxes.learn(BoxOf(0), {3});
    CHECK(boxes.takeNewcomers().empty());
    boxes.heard(BoxOf(1), {4});
    CHECK(boxes.takeNewcomers() == std::vector<KnownBox>{BoxOf(1)});
    boxes.learn(BoxOf(1, ""), {5});
    CHECK(boxes.takeNewcomers().empty());
    CHECK(boxes.size() == 3);
}

TEST_CASE("In a small site each pair of boxes has one link") {
    constexpr size_t kBoxes = 7;
    const auto site = Site(kBoxes);
    size_t links = 0;
    for (const BoxDirectory& box : site) {
        links += box.toDial(false).size();
    }
    CHECK(links == kBoxes * (kBoxes - 1) / 2);
}

TEST_CASE("In a large site each box dials as many as dial it") {
    constexpr size_t kBoxes = 85;
    const auto site = Site(kBoxes);
    std::map<std::string, size_t> dialed;
    for (const BoxDirectory& box : site) {
        const auto targets = box.toDial(false);
        CHECK(targets.size() == kMostDialed);
        for (const std::string& target : targets) {
            ++dialed[target];
        }
    }
    CHECK(std::all_of(dialed.begin(), dialed.end(),
                      [](const auto& entry) { return entry.second == kMostDialed; }));
    CHECK(dialed.size() == kBoxes);
}

TEST_CASE("Neighbours are the boxes that one dials or is dialed by") {
    const auto site = Site(85);
    const BoxDirectory& box = site.front();
    size_t neighbours = 0;
    for (size_t i = 0; i < site.size(); ++i) {
        neighbours += box.isNeighbour(BoxOf(i).address) ? 1 : 0;
    }
    CHECK(neighbours == 2 * kMostDialed);
    CHECK(box.neighbourShare() == Approx(32.0 / 84));
    CHECK(Site(7).front().neighbourShare() == 1);
    CHECK(Site(1).front().neighbourShare() == 1);
    for (const std::string& dialed : box.toDial(false)) {
        CHECK(box.isNeighbour(dialed));
    }
    CHECK_FALSE(box.isNeighbour(BoxOf(0).address));
    CHECK_FALSE(box.isNeighbour("unknown"));
    CHECK(Site(7).front().isNeighbour(BoxOf(3).address));
}

TEST_CASE("A box without links dials all that it knows") {
    const auto site = Site(40);
    CHECK(site.front().toDial(true).size() == 39);
}

TEST_CASE("Boxes that nobody heard of for long are forgotten, but for those that are linked") {
    BoxDirectory boxes(BoxOf(0), kMostDialed);
    boxes.learn(BoxOf(1), {1});
    boxes.learn(BoxOf(2), {1});
    boxes.heard(BoxOf(3), {9});
    boxes.forget({5}, [](const std::string& address) { return address == BoxOf(2).address; });
    CHECK(boxes.size() == 3);
    CHECK(boxes.toDial(true).size() == 2);
}

TEST_CASE("All boxes of a zone agree on their order") {
    BoxDirectory first(BoxOf(0), kMostDialed);
    BoxDirectory second(BoxOf(1), kMostDialed);
    for (size_t i = 0; i < 6; ++i) {
        first.learn(BoxOf(i), {0});
        second.learn(BoxOf(i), {0});
        first.learn(BoxOf(10 + i, "other"), {0});
    }
    const auto order = first.zoneOrder();
    CHECK(order.size() == 6);
    CHECK(order == second.zoneOrder());
}

namespace {

// Boxes that exchange sightings with their neighbours, each every five seconds, in virtual time.
class SightingSite {
public:
    explicit SightingSite(size_t count) : m_lives(count, true) {
        for (size_t i = 0; i < count; ++i) {
            m_boxes.emplace_back(address(i), kMostDialed);
            for (size_t other = 0; other < count; ++other) {
                m_boxes.back().learn(address(other), m_now);
            }
        }
    }

    void kill(size_t box) { m_lives[box] = false; }
    void stopTelling() { m_tells = false; }

    void play(Millis time) {
        for (const MonoTime until = m_now + time; m_now < until; m_now = m_now + kRound) {
            for (size_t i = 0; i < m_boxes.size(); ++i) {
                tell(i);
            }
        }
    }

    size_t known(size_t box) const { return m_boxes[box].size(); }
    size_t most() const { return m_most; }

private:
    static constexpr Millis kRound = 5000;

    static KnownBox address(size_t number) {
        return {"10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":70",
                "z"};
    }

    void tell(size_t from) {
        if (!m_lives[from]) {
            return;
        }
        const auto sightings = m_boxes[from].takeSightings(m_now);
        m_most = std::max(m_most, sightings.size());
        std::set<std::string> linked;
        for (size_t to = 0; to < m_boxes.size(); ++to) {
            if (to == from || !m_lives[to] || !m_boxes[from].isNeighbour(address(to).address)) {
                continue;
            }
            linked.insert(address(to).address);
            m_boxes[to].heard(address(from), m_now);
            for (const BoxSighting& sighting : sightings) {
                if (m_tells) {
                    m_boxes[to].sighted(sighting, m_now);
                }
            }
        }
        m_boxes[from].forget(m_now - BoxDirectory::kForgetAfter,
                             [&](const std::string& box) { return linked.contains(box); });
    }

    std::vector<BoxDirectory> m_boxes;
    std::vector<bool> m_lives;
    bool m_tells = true;
    MonoTime m_now{1000};
    size_t m_most = 0;
};

}  // namespace

// Pattern: a site of hundreds of boxes that runs for longer than a minute.
// How: a box hears a ninth of the others itself. The others were forgotten a minute after they had
// been learned; from then on it divided the retries of the site by 33 boxes and not by 295, took
// the counts of 33 for those of all, and knew its zone's first box no more. Proof: this replay;
// without sightings only the linked boxes stay.
TEST_CASE("Boxes of a large site know each other for as long as they live") {
    constexpr size_t kBoxes = 295;
    SightingSite site(kBoxes);
    site.play(2 * BoxDirectory::kForgetAfter);
    for (size_t i = 0; i < kBoxes; ++i) {
        CHECK(site.known(i) == kBoxes);
    }
    CHECK(site.most() <= BoxDirectory::kMostSightings);
    // A third of them ends: the others forget these, and no others.
    size_t left = kBoxes;
    for (size_t i = 0; i < kBoxes; i += 3) {
        site.kill(i);
        --left;
    }
    site.play(3 * BoxDirectory::kForgetAfter);
    for (size_t i = 1; i < kBoxes; i += 3) {
        CHECK(site.known(i) == left);
    }
}

TEST_CASE("Without sightings a box of a large site keeps none but the boxes that it is linked to") {
    SightingSite site(295);
    site.stopTelling();
    site.play(2 * BoxDirectory::kForgetAfter);
    CHECK(site.known(7) < 100);
}

TEST_CASE("What is said of a box that is gone only gets older") {
    BoxDirectory boxes(BoxOf(0), kMostDialed);
    boxes.learn(BoxOf(1), {1000});
    const uint32_t number = ShortHash(BoxOf(1).address);
    constexpr Millis kPeriod = BoxDirectory::kSightingPeriod;
    boxes.sighted({number, 500}, {1000 + kPeriod});
    CHECK(boxes.age(BoxOf(1).address, {1000 + kPeriod}) == 500);
    // Not yet so much newer than what was passed on.
    CHECK(boxes.takeSightings({1000 + kPeriod}).empty());
    boxes.sighted({number, 0}, {1000 + kPeriod});
    REQUIRE(boxes.takeSightings({3000 + kPeriod}).size() == 1);
    CHECK(boxes.takeSightings({3000 + kPeriod}).empty());
    // The same word over a longer way, and of a box that is not known.
    boxes.sighted({number, 9000}, {4000 + kPeriod});
    boxes.sighted({number + 1, 0}, {4000 + kPeriod});
    CHECK(boxes.age(BoxOf(1).address, {4000 + kPeriod}) == 3000);
    CHECK(boxes.size() == 2);
}
