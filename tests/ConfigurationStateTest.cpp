#include "include/state/ConfigurationState.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

StoredConfiguration Version(uint64_t version) {
    StoredConfiguration configuration;
    configuration.parts.version = version;
    configuration.text = "text of " + std::to_string(version);
    return configuration;
}

}  // namespace

TEST_CASE("The configuration's version never decreases") {
    ConfigurationState state;
    CHECK(state.version() == 0);
    state.apply(Version(4));
    state.apply(Version(3));
    CHECK(state.version() == 4);
    CHECK(state.text() == "text of 4");
    state.apply(Version(5));
    CHECK(state.version() == 5);
    CHECK(state.text() == "text of 5");
}

TEST_CASE("An invalid configuration changes neither the one in force nor its age") {
    ConfigurationState state;
    state.apply(Version(4));
    StoredConfiguration broken = Version(5);
    broken.parts.routes.push_back(Route{});  // A route without a service is invalid.
    state.apply(broken);
    state.reject(Error{ErrorCode::kBadInput, "configuration", "", "not JSON"});
    CHECK(state.version() == 4);
    CHECK_FALSE(state.age({100}).has_value());
    state.confirm({50}, kStoreSource, {60});
    CHECK(state.age({100}) == Millis{50});
}

// Guards against denials by a box that has heard of a newer configuration and does not have it yet.
TEST_CASE("A configuration is superseded while another box has a newer one") {
    ConfigurationState state;
    state.apply(Version(4));
    state.noteVersion(4);
    CHECK_FALSE(state.superseded());
    state.noteVersion(6);
    state.noteVersion(5);
    state.apply(Version(5));
    CHECK(state.superseded());
    state.apply(Version(6));
    CHECK_FALSE(state.superseded());
    state.noteUnreadable();
    CHECK(state.superseded());
    state.apply(Version(6));
    CHECK(state.superseded());
    state.apply(Version(7));
    CHECK_FALSE(state.superseded());
}

TEST_CASE("What a decision is made on names the version, its age and what confirmed it last") {
    ConfigurationState state;
    CHECK_FALSE(state.report({10}).version.has_value());
    CHECK_FALSE(state.report({10}).confirmedAgo.has_value());
    state.apply(Version(4));
    state.confirm({50}, kStoreSource, {60});
    state.confirm({90}, "10.0.0.7:1", {95});
    state.confirm({70}, kStoreSource, {99});  // Older than what is known already.
    CHECK_FALSE(state.report({100}).superseded);
    state.noteVersion(5);
    const ConfigurationReport report = state.report({100});
    CHECK(report.superseded);
    CHECK(report.version == 4);
    CHECK(report.age == Millis{10});
    CHECK(report.confirmedBy == "10.0.0.7:1");
    CHECK(report.confirmedAgo == Millis{5});
}
