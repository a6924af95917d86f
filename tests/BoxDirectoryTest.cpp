#include "include/membership/BoxDirectory.h"

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
