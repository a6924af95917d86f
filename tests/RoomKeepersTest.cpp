#include "include/membership/RoomKeepers.h"

#include "include/base/Hash.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace onyx;

namespace {

std::vector<KnownBox> MakeBoxes(size_t boxes, size_t zones) {
    std::vector<KnownBox> known;
    for (size_t i = 0; i < boxes; ++i) {
        known.push_back({"10." + std::to_string(i % zones) + "." + std::to_string(i / 250) + "." +
                             std::to_string(i % 250) + ":7340",
                         "zone-" + std::to_string(i % zones)});
    }
    return known;
}

std::string ZoneOf(const std::vector<KnownBox>& boxes, const std::string& address) {
    const auto found = std::find_if(boxes.begin(), boxes.end(),
                                    [&](const KnownBox& box) { return box.address == address; });
    return found == boxes.end() ? std::string() : found->zone;
}

}  // namespace

TEST_CASE("Each box is in one group of its zone, and groups have at most the size given") {
    const auto count =
        GENERATE(size_t{1}, size_t{6}, size_t{32}, size_t{83}, size_t{295}, size_t{985});
    const auto boxes = MakeBoxes(count, 5);
    RoomKeepers keepers;
    keepers.setBoxes(boxes);
    CHECK(keepers.boxCount() == count);
    std::set<std::vector<std::string>> groups;
    for (const KnownBox& box : boxes) {
        const auto group = keepers.groupOf(box.address);
        CHECK(std::count(group.begin(), group.end(), box.address) == 1);
        CHECK(group.size() <= RoomKeepers::kGroupSize);
        for (const std::string& member : group) {
            CHECK(ZoneOf(boxes, member) == box.zone);
        }
        groups.insert(group);
    }
    size_t members = 0;
    for (const auto& group : groups) {
        members += group.size();
    }
    CHECK(members == count);
    CHECK(keepers.allCollectors(1).size() == groups.size());
}

TEST_CASE("Boxes that know the same boxes in another order choose the same keepers") {
    auto boxes = MakeBoxes(295, 5);
    RoomKeepers keepers;
    keepers.setBoxes(boxes);
    std::reverse(boxes.begin(), boxes.end());
    RoomKeepers others;
    others.setBoxes(boxes);
    for (uint64_t service = 1; service < 20; ++service) {
        CHECK(keepers.allCollectors(service) == others.allCollectors(service));
        CHECK(keepers.rootsOf(service, "zone-3") == others.rootsOf(service, "zone-3"));
    }
}

TEST_CASE("A group has two collectors of its own") {
    const auto boxes = MakeBoxes(295, 5);
    RoomKeepers keepers;
    keepers.setBoxes(boxes);
    for (const KnownBox& box : boxes) {
        const auto group = keepers.groupOf(box.address);
        const auto collectors = keepers.collectorsOf(7, box.address);
        REQUIRE(collectors.size() == RoomKeepers::kCollectors);
        CHECK(collectors[0] != collectors[1]);
        for (const std::string& collector : collectors) {
            CHECK(std::count(group.begin(), group.end(), collector) == 1);
        }
        const auto all = keepers.allCollectors(7);
        CHECK(std::count(all.begin(), all.end(), collectors) == 1);
    }
}

TEST_CASE("The roots are in different zones, and each zone has one of its own") {
    const auto boxes = MakeBoxes(83, 4);
    RoomKeepers keepers;
    keepers.setBoxes(boxes);
    for (uint64_t service = 1; service < 50; ++service) {
        const auto site = keepers.rootsOf(service, "");
        REQUIRE(site.size() == RoomKeepers::kRoots);
        CHECK(ZoneOf(boxes, site[0]) != ZoneOf(boxes, site[1]));
        for (size_t zone = 0; zone < 4; ++zone) {
            const std::string name = "zone-" + std::to_string(zone);
            const auto roots = keepers.rootsOf(service, name);
            CHECK(roots.size() <= RoomKeepers::kRoots + 1);
            CHECK(std::equal(site.begin(), site.end(), roots.begin()));
            CHECK(std::any_of(roots.begin(), roots.end(), [&](const std::string& root) {
                return ZoneOf(boxes, root) == name;
            }));
        }
    }
}

TEST_CASE("A site with one zone has two roots, one with one box has one") {
    RoomKeepers keepers;
    keepers.setBoxes(MakeBoxes(6, 1));
    const auto roots = keepers.rootsOf(3, "zone-0");
    REQUIRE(roots.size() == 2);
    CHECK(roots[0] != roots[1]);
    keepers.setBoxes(MakeBoxes(1, 1));
    const std::vector<std::string> only{"10.0.0.0:7340"};
    CHECK(keepers.rootsOf(3, "zone-0") == only);
    CHECK(keepers.collectorsOf(3, only[0]) == only);
}

TEST_CASE("A root does not collect for a group that has other boxes") {
    const auto boxes = MakeBoxes(83, 4);
    RoomKeepers keepers;
    keepers.setBoxes(boxes);
    for (uint64_t service = 1; service < 50; ++service) {
        for (const std::string& root : keepers.rootsOf(service, "zone-2")) {
            const auto collectors = keepers.collectorsOf(service, root);
            CHECK(std::count(collectors.begin(), collectors.end(), root) == 0);
        }
    }
}

TEST_CASE("Services are spread over the boxes") {
    RoomKeepers keepers;
    keepers.setBoxes(MakeBoxes(83, 4));
    std::map<std::string, int> services;
    for (int i = 0; i < 830; ++i) {
        const uint64_t service = HashText("service-" + std::to_string(i));
        ++services[keepers.rootsOf(service, "").front()];
    }
    CHECK(services.size() > 70);
    for (const auto& [box, count] : services) {
        CHECK(count < 40);
    }
}

TEST_CASE("Boxes whose zone is not known collect nothing and are counted") {
    auto boxes = MakeBoxes(6, 2);
    boxes.push_back({"10.9.0.1:7340", ""});
    RoomKeepers keepers;
    keepers.setBoxes(boxes);
    CHECK(keepers.boxCount() == 7);
    CHECK(keepers.groupOf("10.9.0.1:7340").empty());
    CHECK(keepers.collectorsOf(1, "10.9.0.1:7340").empty());
    CHECK(keepers.rootsOf(1, "").size() == 2);
}
