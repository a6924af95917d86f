#include "include/placement/UpstreamLoads.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("What an answer told of others' requests counts on top of the own, for a while") {
    UpstreamLoads loads;
    loads.enter("a");
    loads.enter("a");
    loads.noteReportedLoad("a", 5, {0});
    loads.leave("a");
    CHECK(loads.own("a") == 1);
    CHECK(loads.total("a", {500}) == 4);
    CHECK(loads.total("a", {UpstreamLoads::kReportAge + 1}) == 1);
    loads.forget("a");
    CHECK(loads.own("a") == 1);
    loads.leave("a");
    loads.forget("a");
    CHECK(loads.counts().empty());
}
