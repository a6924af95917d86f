#include "include/freshness/WatcherSelector.h"

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

// A box that queries the first box of its zone.
struct Follower {
    std::vector<std::string> zone = Zone(8);
    WatcherSelector delegation{WatcherSelectorSettings{}};

    Follower() { ask(kStart); }
    std::string ask(MonoTime now) { return delegation.choose(zone, zone.back(), kAllLinked, now); }
};

}  // namespace

TEST_CASE("In a small zone every box watches the store") {
    const auto zone = Zone(4);
    for (const std::string& box : zone) {
        WatcherSelector delegation{WatcherSelectorSettings{}};
        CHECK(delegation.choose(zone, box, kAllLinked, kStart).empty());
    }
}

TEST_CASE("In a large zone a few boxes watch the store, and the others are spread over them") {
    const auto zone = Zone(68);
    WatcherSelectorSettings settings;
    settings.boxesPerWatcher = 16;
    std::map<std::string, size_t> followers;
    size_t watchers = 0;
    for (const std::string& box : zone) {
        WatcherSelector delegation{settings};
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

// Guards against a failure on a site of 85 boxes: the state of a watcher that held a long watch at
// the first query of a follower was stale, all followers left it for 10 s, and without followers it
// held long watches again.
TEST_CASE(
    "A watcher whose state is not fresh yet is still queried, and has the watcher role without "
    "followers") {
    const auto zone = Zone(8);
    WatcherSelector box{WatcherSelectorSettings{}};
    CHECK(box.choose(zone, zone.back(), kAllLinked, kStart) == zone.front());
    box.noteReply(zone.front(), 4000, 4000, kStart);
    CHECK(box.choose(zone, zone.back(), kAllLinked, kStart + 333) == zone.front());
    box.noteReply(zone.front(), 300, 300, kStart + 333);
    CHECK_FALSE(box.isWatcher());
    WatcherSelector watcher{WatcherSelectorSettings{}};
    CHECK(watcher.choose(zone, zone.front(), kAllLinked, kStart).empty());
    CHECK(watcher.isWatcher());
    CHECK(watcher.preferred(zone, zone.front()).empty());
    CHECK(box.preferred(zone, zone.back()) == zone.front());
}

TEST_CASE("A watcher that stays stale while others are fresh is passed over for a while") {
    const std::optional<Millis> old = GENERATE(std::optional<Millis>{1300}, std::nullopt);
    const WatcherSelectorSettings settings;
    Follower box;
    box.delegation.noteReply(box.zone.front(), old, 100, kStart);
    CHECK(box.ask(kStart + settings.linkTimeout - 1) == box.zone.front());
    const MonoTime now = kStart + settings.linkTimeout;
    box.delegation.noteReply(box.zone.front(), old, 100, now);
    CHECK(box.ask(now) == box.zone[1]);
    CHECK(box.ask(now + settings.passOverTime - 1) == box.zone[1]);
    CHECK(box.ask(now + settings.passOverTime) == box.zone.front());
}

TEST_CASE("A stale watcher is kept if others are stale too, or if it was stale only briefly") {
    const WatcherSelectorSettings settings;
    const std::string first = Zone(8).front();
    Follower box;
    for (Millis t = 0; t < 3 * settings.linkTimeout; t += 100) {
        box.delegation.noteReply(first, 5000, 5000, kStart + t);
        CHECK(box.ask(kStart + t) == first);
    }
    const MonoTime later = kStart + 3 * settings.linkTimeout;
    box.delegation.noteReply(first, 5000, 100, later);
    box.delegation.noteReply(first, 200, 100, later + 100);
    box.delegation.noteReply(first, 5000, 100, later + settings.linkTimeout);
    CHECK(box.ask(later + settings.linkTimeout) == first);
    // The reply of another box does not count for the watcher.
    box.delegation.noteReply("box-107", 5000, 100, later + 3 * settings.linkTimeout);
    CHECK(box.ask(later + 3 * settings.linkTimeout) == first);
}

TEST_CASE("A box without a link to its watcher queries none, and may query another one") {
    Follower box;
    const auto none = [](const std::string&) { return false; };
    CHECK(box.delegation.choose(box.zone, box.zone.back(), none, kStart).empty());
    box.zone.insert(box.zone.begin(), "box-1");
    CHECK(box.ask(kStart) == "box-1");
}

TEST_CASE("The next box in order replaces a lost watcher, on all boxes alike") {
    const auto zone = Zone(8);
    const std::string& dead = zone.front();
    const std::string& next = zone[1];
    const auto linked = [&](const std::string& box) { return box != dead; };
    WatcherSelector follower{WatcherSelectorSettings{}};
    WatcherSelector standIn{WatcherSelectorSettings{}};
    CHECK(follower.choose(zone, zone.back(), linked, kStart).empty());
    CHECK(standIn.choose(zone, next, linked, kStart).empty());
    CHECK_FALSE(standIn.isWatcher());
    const MonoTime later = kStart + WatcherSelectorSettings{}.linkTimeout;
    CHECK(follower.choose(zone, zone.back(), linked, later) == next);
    CHECK(standIn.choose(zone, next, linked, later).empty());
    CHECK(standIn.isWatcher());
    // The lost watcher is tried again.
    const MonoTime back = later + WatcherSelectorSettings{}.passOverTime;
    CHECK(follower.choose(zone, zone.back(), kAllLinked, back) == dead);
    CHECK(standIn.choose(zone, next, kAllLinked, back) == dead);
    CHECK_FALSE(standIn.isWatcher());
}

TEST_CASE("A box that becomes a watcher queries no box") {
    Follower box;
    std::vector<std::string> zone{box.zone.back(), "box-1", "box-2", "box-3", "box-4"};
    CHECK(box.delegation.choose(zone, box.zone.back(), kAllLinked, kStart).empty());
    CHECK(box.delegation.isWatcher());
}

TEST_CASE("The rank of a box counts the boxes of its zone that would replace a watcher before it") {
    const auto zone = Zone(8);
    const WatcherSelectorSettings settings;
    const auto linked = [&](const std::string& box) { return box != zone.front(); };
    for (size_t i = 1; i < zone.size(); ++i) {
        WatcherSelector box{settings};
        box.choose(zone, zone[i], kAllLinked, kStart);
        CHECK(box.rank() == i - 1);
        // The first box is gone: the second one is a watcher and does not count as a deputy.
        box.choose(zone, zone[i], linked, kStart + settings.linkTimeout);
        box.choose(zone, zone[i], linked, kStart + 2 * settings.linkTimeout);
        CHECK(box.rank() == (i < 2 ? 0 : i - 2));
    }
}
