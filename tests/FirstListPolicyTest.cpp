#include "include/freshness/FirstListPolicy.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace onyx;

namespace {

constexpr MonoTime kStart{50000};

// Boxes of a site that start together before a list of `pages` pages. A box that has the list sends
// it to peers of its zone, as often as its limit allows; each transfer takes a step.
struct Replay {
    size_t boxes;
    size_t zones;
    size_t pages;
    size_t pagesRead = 0;
    Millis lastAt = 0;  // When the last box got the list, after the start.

    void run(uint32_t seed) {
        constexpr Millis kStepMs = 100;
        constexpr Millis kTransferMs = 1000;
        constexpr size_t kZoneLinks = 6;  // Links of a box to boxes of its own zone.
        std::mt19937 random(seed);
        std::vector<FirstListPolicy> policies;
        std::vector<ListSendLimit> limits(boxes);
        std::vector<Millis> listAt(boxes, -1);  // When the box has the list; -1: not known yet.
        for (size_t i = 0; i < boxes; ++i) {
            policies.emplace_back(random());
            const bool waits = policies[i].leavesRestToPeers(false, kStart);
            pagesRead += waits ? 1 : pages;
            listAt[i] = waits ? -1 : kTransferMs;
        }
        for (Millis time = 0; time < 20000; time += kStepMs) {
            const MonoTime now = kStart + time;
            for (size_t i = 0; i < boxes; ++i) {
                const bool hasList = listAt[i] >= 0;
                if (hasList) {
                    continue;
                }
                if (!policies[i].isWaiting(kZoneLinks, hasList, now)) {
                    pagesRead += pages;
                    listAt[i] = time + kTransferMs;
                    continue;
                }
                const size_t inZone = random() % (boxes / zones);
                const size_t peer = inZone * zones + i % zones;
                const bool peerHasList = listAt[peer] >= 0 && listAt[peer] <= time;
                if (peerHasList && limits[peer].tryTake(now)) {
                    listAt[i] = time + kTransferMs;
                }
            }
        }
        for (const Millis at : listAt) {
            lastAt = std::max(lastAt, at);
        }
    }
};

}  // namespace

// Guards against a start of all boxes at which each reads the whole list from the store, so that
// the pages read grow with the square of the site.
TEST_CASE("Boxes that start together read the list a few times, and all have it soon") {
    const size_t boxes = GENERATE(as<size_t>(), 300, 985, 1970);
    const size_t pages = boxes / 50;
    for (uint32_t seed = 1; seed <= 3; ++seed) {
        Replay replay{boxes, 5, pages};
        replay.run(seed);
        INFO(boxes << " boxes, seed " << seed << ": " << replay.pagesRead
                   << " pages, last box after " << replay.lastAt << " ms");
        // Besides the first page, which every box reads.
        CHECK(replay.pagesRead - boxes < boxes * (pages - 1) / 5);
        CHECK(replay.lastAt <= 5000);
    }
}

TEST_CASE("A box waits for its peers once, and no longer than its bound") {
    for (uint64_t seed = 0; seed < 200; ++seed) {
        FirstListPolicy policy(seed);
        if (!policy.leavesRestToPeers(false, kStart)) {
            continue;
        }
        CHECK(policy.isWaiting(3, false, kStart + FirstListPolicy::kMinWait - 1));
        CHECK_FALSE(policy.isWaiting(3, false, kStart + FirstListPolicy::kMaxWait));
        CHECK_FALSE(policy.isWaiting(3, true, kStart + 100));
        CHECK_FALSE(policy.isWaiting(0, false, kStart + FirstListPolicy::kLinkWait));
        CHECK_FALSE(policy.leavesRestToPeers(false, kStart + 7000));
    }
}

TEST_CASE("A box that others start by reads the whole list at once") {
    for (uint64_t seed = 0; seed < 50; ++seed) {
        CHECK_FALSE(FirstListPolicy(seed).leavesRestToPeers(true, kStart));
    }
}

TEST_CASE("A box sends its whole list to a few others at a time") {
    ListSendLimit limit;
    CHECK(limit.tryTake(kStart));
    CHECK(limit.tryTake(kStart));
    CHECK_FALSE(limit.tryTake(kStart + 999));
    CHECK(limit.tryTake(kStart + 1000));
}
