#include "include/freshness/WatchDelegation.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <vector>

using namespace onyx;

namespace {

constexpr MonoTime kStart{1000};
const auto kAllLinked = [](const std::string&) { return true; };

std::vector<std::string> Zone(size_t boxes) {
    std::vector<std::string> zone;
    for (size_t i = 0; i < boxes; ++i) {
        zone.push_back("box-" + std::to_string(100 + i));
    }
    return zone;
}

// A box that follows the first one of its zone.
struct Follower {
    std::vector<std::string> zone = Zone(8);
    WatchDelegation delegation{WatchDelegationSettings{}};

    Follower() {
        ask(kStart);
        delegation.replied(zone.front(), {true, 100}, kStart);
    }
    std::string ask(MonoTime now) { return delegation.choose(zone, zone.back(), kAllLinked, now); }
};

}  // namespace

TEST_CASE("In a small zone every box watches the store") {
    const auto zone = Zone(4);
    for (const std::string& box : zone) {
        WatchDelegation delegation{WatchDelegationSettings{}};
        CHECK(delegation.choose(zone, box, kAllLinked, kStart).empty());
    }
}

TEST_CASE("In a large zone a few boxes watch, and the others spread over them") {
    const auto zone = Zone(68);
    WatchDelegationSettings settings;
    settings.boxesPerWatcher = 16;
    std::map<std::string, size_t> followers;
    size_t watchers = 0;
    for (const std::string& box : zone) {
        WatchDelegation delegation{settings};
        const std::string watcher = delegation.choose(zone, box, kAllLinked, kStart);
        watchers += watcher.empty() ? 1 : 0;
        if (!watcher.empty()) {
            ++followers[watcher];
        }
    }
    CHECK(watchers == 5);
    CHECK(followers.size() == 5);
    for (const auto& [watcher, count] : followers) {
        CHECK(count <= 24);
    }
}

TEST_CASE("A box watches by itself until its watcher has told fresh knowledge") {
    Follower box;
    CHECK(box.delegation.following());
    WatchDelegation fresh{WatchDelegationSettings{}};
    CHECK(fresh.choose(box.zone, box.zone.back(), kAllLinked, kStart) == box.zone.front());
    CHECK_FALSE(fresh.following());
}

// Found in the logs of a site of 85 boxes: a watcher whose long watch was under way when its first
// follower asked was old, all left it for 10 s, and without followers it held long watches again.
TEST_CASE("A watcher that is not fresh yet is asked on, and knows that it is one") {
    const auto zone = Zone(8);
    WatchDelegation box{WatchDelegationSettings{}};
    CHECK(box.choose(zone, zone.back(), kAllLinked, kStart) == zone.front());
    box.replied(zone.front(), {true, 4000}, kStart);
    CHECK_FALSE(box.following());
    CHECK(box.choose(zone, zone.back(), kAllLinked, kStart + 333) == zone.front());
    box.replied(zone.front(), {true, 300}, kStart + 333);
    CHECK(box.following());
    CHECK_FALSE(box.isWatcher());
    WatchDelegation watcher{WatchDelegationSettings{}};
    CHECK(watcher.choose(zone, zone.front(), kAllLinked, kStart).empty());
    CHECK(watcher.isWatcher());
    CHECK(watcher.preferred(zone, zone.front(), kStart).empty());
    CHECK(box.preferred(zone, zone.back(), kStart) == zone.front());
}

TEST_CASE("A watcher that is silent, old, or does not watch is left at once, and for a while") {
    const auto trouble = GENERATE(0, 1, 2, 3);
    Follower box;
    const MonoTime now = kStart + 2000;
    switch (trouble) {
        case 0:
            box.delegation.noteAge(1300, now);
            break;
        case 1:
            box.delegation.replied(box.zone.front(), {true, 1300}, now);
            break;
        case 2:
            box.delegation.replied(box.zone.front(), {false, 100}, now);
            break;
        default:
            box.delegation.replied(box.zone.front(), {true, std::nullopt}, now);
            break;
    }
    CHECK_FALSE(box.delegation.following());
    CHECK(box.ask(now).empty());
    CHECK(box.ask(now + 9999).empty());
    CHECK(box.ask(now + 10000) == box.zone.front());
    CHECK_FALSE(box.delegation.following());
}

TEST_CASE("A follower whose link to its watcher is gone watches, and may follow another") {
    Follower box;
    const auto none = [](const std::string&) { return false; };
    CHECK(box.delegation.choose(box.zone, box.zone.back(), none, kStart).empty());
    CHECK_FALSE(box.delegation.following());
    box.zone.insert(box.zone.begin(), "box-1");
    CHECK(box.ask(kStart) == "box-1");
    CHECK_FALSE(box.delegation.following());
    box.delegation.replied("box-100", {true, 10}, kStart);
    CHECK_FALSE(box.delegation.following());
}

TEST_CASE("The next box in order stands in for a watcher that is gone, for all alike") {
    const auto zone = Zone(8);
    const std::string& dead = zone.front();
    const std::string& next = zone[1];
    const auto linked = [&](const std::string& box) { return box != dead; };
    WatchDelegation follower{WatchDelegationSettings{}};
    WatchDelegation standIn{WatchDelegationSettings{}};
    CHECK(follower.choose(zone, zone.back(), linked, kStart).empty());
    CHECK(standIn.choose(zone, next, linked, kStart).empty());
    CHECK_FALSE(standIn.isWatcher());
    const MonoTime later = kStart + WatchDelegationSettings{}.linkTime;
    CHECK(follower.choose(zone, zone.back(), linked, later) == next);
    CHECK(standIn.choose(zone, next, linked, later).empty());
    CHECK(standIn.isWatcher());
    follower.replied(next, {true, 100}, later);
    CHECK(follower.following());
    // The one that was gone is tried again.
    const MonoTime back = later + WatchDelegationSettings{}.alone;
    CHECK(follower.choose(zone, zone.back(), kAllLinked, back) == dead);
    CHECK(standIn.choose(zone, next, kAllLinked, back) == dead);
    CHECK_FALSE(standIn.isWatcher());
}

TEST_CASE("A box that becomes a watcher follows nobody") {
    Follower box;
    std::vector<std::string> zone{box.zone.back(), "box-1", "box-2", "box-3", "box-4"};
    CHECK(box.delegation.choose(zone, box.zone.back(), kAllLinked, kStart).empty());
    CHECK_FALSE(box.delegation.following());
}
