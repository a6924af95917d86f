#include "tests/ListAtStartReplay.h"

#include <catch2/catch.hpp>

using namespace onyx;

// Guards against a restart of all boxes, or of a zone, after which each box refuses requests until
// it has the whole list of upstreams, which takes longer the more boxes and upstreams there are.
TEST_CASE("Boxes that start together serve again in less than three seconds") {
    const auto site =
        GENERATE(ListReplaySettings{300, 3, 6}, ListReplaySettings{300, 5, 6, true},
                 ListReplaySettings{985, 5, 20}, ListReplaySettings{985, 5, 20, true});
    for (uint32_t seed = 1; seed <= 3; ++seed) {
        ListAtStartReplay replay(site, seed);
        replay.run();
        const size_t started = site.oneZoneOnly ? site.boxes / site.zones : site.boxes;
        INFO(started << " of " << site.boxes << " boxes, seed " << seed
                     << ": last one serves after " << replay.lastServes()
                     << " ms, has the list after " << replay.lastHasList() << " ms; "
                     << replay.pages() << " pages, " << replay.confirmations() << " watches, "
                     << replay.queries() << " queries, " << replay.lists() << " lists, "
                     << replay.mostRounds() << " rounds at most");
        CHECK(replay.lastServes() < 3000);
        CHECK(replay.allHaveList());
        // A watch of each box for its first page, and one for the whole list if it reads that
        // itself.
        CHECK(replay.confirmations() <= 2 * started);
    }
}
