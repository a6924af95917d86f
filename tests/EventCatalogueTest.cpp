#include "include/observe/Events.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace onyx;

namespace {

std::string ReadSource(const std::string& path) {
    std::ifstream in(std::string(ONYX_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace

TEST_CASE("Every event in the code is in docs/EVENTS.md and the other way about") {
    std::map<int, std::string> inCode;
    const std::string header = ReadSource("include/observe/Events.h");
    const std::regex entry("k[A-Za-z]+ = ([0-9]+),");
    for (std::sregex_iterator it(header.begin(), header.end(), entry), end; it != end; ++it) {
        const int number = std::stoi((*it)[1]);
        inCode[number] = std::string(EventName(static_cast<Event>(number)));
    }
    std::map<int, std::string> inDocs;
    const std::string docs = ReadSource("docs/EVENTS.md");
    const std::regex row("\\| ([0-9]{4}) \\| ([a-z-]+) \\|");
    for (std::sregex_iterator it(docs.begin(), docs.end(), row), end; it != end; ++it) {
        inDocs[std::stoi((*it)[1])] = (*it)[2];
    }
    CHECK(inCode.size() > 20);
    CHECK(inCode == inDocs);
}
