#include "include/state/GatewaySettings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace onyx;

namespace {

const std::string kGood = R"(
[box]
name = "a"
zone = "ikeja"
[listen]
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[store]
address = "127.0.0.1:1"
)";

GatewaySettings Read(const std::string& text, std::string& problems) {
    auto reader = SettingsReader::Make(text, "box.toml");
    REQUIRE(reader.has_value());
    GatewaySettings settings = GatewaySettings::Read(reader.value());
    problems = reader.value().problems();
    return settings;
}

}  // namespace

TEST_CASE("The gateway's settings need addresses, and bounds have defaults") {
    std::string problems;
    const GatewaySettings settings = Read(kGood, problems);
    CHECK(problems.empty());
    CHECK(settings.admission.freshLimit == 3600);
    CHECK(settings.pacing.configurationWait < settings.admission.freshLimit);
    CHECK(settings.drain.accept < settings.drain.limit);
    Read("", problems);
    CHECK(problems.find("box.name") != std::string::npos);
    CHECK(problems.find("store.address") != std::string::npos);
}

TEST_CASE("What is known of keys is kept well within any bound on them") {
    for (const int bound : {500, 1000, 2000, 5000, 20000}) {
        std::string problems;
        const GatewaySettings settings =
            Read(kGood + "key_bound_ms = " + std::to_string(bound) + "\n", problems);
        CHECK(problems.empty());
        CHECK(settings.admission.freshLimit < bound);
        CHECK(settings.admission.freshLimit > 0);
        CHECK(settings.pacing.configurationWait < settings.admission.freshLimit);
    }
}

// Guards against denials on a configuration older than a change may take: each bound limits what it
// is for, and the shorter one paces the calls.
TEST_CASE("The bounds on keys and on changes are kept apart, and the shorter one paces the calls") {
    for (const int bound : {1000, 2000, 3000, 10000}) {
        std::string problems;
        const GatewaySettings settings =
            Read(kGood + "configuration_bound_ms = " + std::to_string(bound) + "\n", problems);
        CHECK(problems.empty());
        CHECK(settings.admission.freshLimit == 3600);
        CHECK(settings.admission.denialLimit == DenialLimit(bound));
        const Millis limit = std::min(settings.admission.freshLimit, DenialLimit(bound));
        CHECK(settings.pacing.configurationWait < limit);
        CHECK(settings.storeCall.maxAge + settings.pacing.followPeriod < limit);
    }
}

TEST_CASE(
    "A follower leaves a watcher that was cut off well within the bound on leaving upstreams") {
    for (const int bound : {600, 1000, 2000, 3000, 10000}) {
        std::string problems;
        const GatewaySettings settings =
            Read(kGood + "leaving_bound_ms = " + std::to_string(bound) + "\n", problems);
        CHECK(problems.empty());
        CHECK(settings.storeCall.maxAge + settings.pacing.followPeriod < bound * 8 / 10);
        // While all is well the knowledge of a follower stays younger than that.
        CHECK(settings.pacing.followedWait + settings.pacing.followPeriod <
              settings.storeCall.maxAge);
    }
    std::string problems;
    const GatewaySettings tight = Read(kGood + "leaving_bound_ms = 300\n", problems);
    CHECK(tight.watcherSelector.minBoxes > 1000000);
}

TEST_CASE("Keys are refused on a stale configuration unless the settings say otherwise") {
    std::string problems;
    CHECK(std::holds_alternative<RefuseStale>(Read(kGood, problems).admission.staleness));
    const GatewaySettings serving =
        Read(kGood + "stale_keys = \"serve\"\nstale_limit_ms = 30000\n", problems);
    CHECK(problems.empty());
    REQUIRE(std::holds_alternative<ServeStale>(serving.admission.staleness));
    CHECK(std::get<ServeStale>(serving.admission.staleness).maxAge == 30000);
    Read(kGood + "stale_keys = \"perhaps\"\n", problems);
    CHECK(problems.find("store.stale_keys") != std::string::npos);
    Read(kGood + "stale_keys = \"serve\"\nstale_limit_ms = 100\n", problems);
    CHECK(problems.find("store.stale_limit_ms") != std::string::npos);
}

TEST_CASE("A placement that is not known is a problem that names the key") {
    std::string problems;
    Read(kGood + "[placement]\nmodel = \"best\"\n", problems);
    CHECK(problems.find("placement.model") != std::string::npos);
    CHECK(problems.find("affinity or zone-first") != std::string::npos);
    // Values that were rejected by measurement are not taken any more.
    Read(kGood + "[placement]\nplain = \"random\"\n", problems);
    CHECK(problems.find("placement.plain") != std::string::npos);
    const GatewaySettings settings =
        Read(kGood + "[placement]\nmodel = \"zone-first\"\n", problems);
    CHECK(problems.empty());
    CHECK(std::holds_alternative<ZoneFirstPolicy>(settings.modelPlacement));
}

TEST_CASE("The retry budget of a box is a part of what all boxes share") {
    std::string problems;
    const GatewaySettings settings =
        Read(kGood + "[retry]\nshare = 0.2\nslack = 54.0\nboxes = 9\n", problems);
    CHECK(problems.empty());
    CHECK(settings.retry.share < 0.2);
    CHECK(settings.retry.slack < 54.0);
    CHECK(settings.retry.minBoxes == 9);
}

TEST_CASE("Admission by room is on unless the settings switch it off") {
    std::string problems;
    CHECK(Read(kGood, problems).admitByRoom);
    const GatewaySettings off = Read(kGood + "[admission]\nby_room = false\n", problems);
    CHECK(problems.empty());
    CHECK_FALSE(off.admitByRoom);
    Read(kGood + "[admission]\nby_room = \"perhaps\"\n", problems);
    CHECK(problems.find("admission.by_room: expected true or false, found string") !=
          std::string::npos);
}
