#include "include/config/Settings.h"

#include "modules/standalone/include/router/RouterSettings.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

std::string ProblemsOf(const std::string& text) {
    auto reader = SettingsReader::Make(text, "box.toml");
    if (reader.has_error()) {
        return reader.error().text();
    }
    RouterSettings::Read(reader.value());
    return reader.value().problems();
}

const std::string kGood = R"(
[box]
name = "a"
zone = "ikeja"
site = "lagos"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
)";

}  // namespace

TEST_CASE("Good settings have no problems") {
    CHECK(ProblemsOf(kGood).empty());
}

TEST_CASE("A problem names file, key, expected and found") {
    CHECK(ProblemsOf(kGood + "[keys]\nlease_ms = \"soon\"\n") ==
          "box.toml: keys.lease_ms: expected a whole number from 100 to 86400000, found string\n");
    CHECK(ProblemsOf(kGood + "[queue]\nmost = 0\n") ==
          "box.toml: queue.most: expected a whole number from 1 to 1000000, found 0\n");
    CHECK(ProblemsOf(kGood + "[queue]\nmots = 5\n") ==
          "box.toml: queue.mots: expected no such key, found it\n");
}

TEST_CASE("A key that stands twice is an error with its line") {
    CHECK(ProblemsOf(kGood + "metrics = \"127.0.0.1:1\"\n").find("line 10") != std::string::npos);
}
