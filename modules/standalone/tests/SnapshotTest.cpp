#include "modules/standalone/include/config/RevisionGate.h"
#include "modules/standalone/include/config/Snapshot.h"
#include "modules/standalone/include/router/ConfigController.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

wire::ConfigSnapshotT Offer(uint64_t revision, const std::string& services) {
    wire::ConfigSnapshotT offer;
    offer.revision = revision;
    auto shard = std::make_unique<wire::ConfigShardT>();
    shard->name = "services";
    shard->content = services;
    offer.shards.push_back(std::move(shard));
    return offer;
}

const std::string kOneService = R"([{"name":"m","kind":"chat"}])";

}  // namespace

TEST_CASE("A configuration never reverts, whoever offers it") {
    ConfigController config;
    CHECK(config.offer(Offer(7, kOneService), "agent"));
    CHECK_FALSE(config.offer(Offer(6, "[]"), "a restored store"));
    CHECK_FALSE(config.offer(Offer(7, "[]"), "a peer"));
    CHECK(config.revision() == 7);
    CHECK(config.current()->services().size() == 1);
}

TEST_CASE("A corrupt configuration leaves the last good one in force") {
    ConfigController config;
    CHECK(config.offer(Offer(1, kOneService), "agent"));
    CHECK_FALSE(config.offer(Offer(2, "[{\"name\":"), "agent"));
    CHECK(config.revision() == 1);
    CHECK(config.offer(Offer(3, kOneService), "agent"));
}

TEST_CASE("A bad shard is refused with its shard and field") {
    const ConfigShard shard{"services", R"([{"name":"s","kind":"plain","repeatable":false}])"};
    const auto snapshot = Snapshot::Make(1, std::span(&shard, 1));
    REQUIRE(snapshot.has_error());
    CHECK(snapshot.error().step == "config.services.zones");
}

TEST_CASE("A key belongs to one site by its mint time, on both sides of a step") {
    const std::vector<MigrationStep> steps = {{{1000}, 0.25}, {{2000}, 0.75}};
    int before = 0;
    int between = 0;
    int after = 0;
    for (int i = 0; i < 4000; ++i) {
        const std::string key = "key" + std::to_string(i);
        const bool early = KeyIsOurs(steps, key, {999});
        const bool middle = KeyIsOurs(steps, key, {1500});
        const bool late = KeyIsOurs(steps, key, {2000});
        before += early ? 1 : 0;
        between += middle ? 1 : 0;
        after += late ? 1 : 0;
        CHECK_FALSE((middle && !late));  // A growing share takes no key back.
        CHECK(KeyIsOurs(steps, key, {1500}) == middle);
    }
    CHECK(before == 0);
    CHECK(between > 900);
    CHECK(between < 1100);
    CHECK(after > 2900);
    CHECK(after < 3100);
}
