// onyx-burn: reads the boxes' metrics and reports how fast each service's error budget is spent.
#include "include/net/HttpClient.h"
#include "include/net/Program.h"
#include "include/observe/Burn.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>

using namespace onyx;

namespace {

struct Options {
    std::vector<std::string> boxes;
    int shortWindow = 60;
    int longWindow = 600;
    double objective = 0.95;
    bool now = false;
    bool json = false;
};

constexpr Millis kReadTimeout = 2000;

Task<> ReadBox(HttpClient& http, Endpoint box, SloCounts& counts, int& unread) {
    HttpOutgoing request;
    request.target = "/metrics";
    auto answer = co_await http.call(box, std::move(request), kReadTimeout);
    if (answer.has_error()) {
        std::fprintf(stderr, "%s\n", answer.error().text().c_str());
        ++unread;
        co_return;
    }
    AddSloCounts(answer.value().body, counts);
}

SloCounts ReadAll(const std::vector<Endpoint>& boxes, int& unread) {
    asio::io_context io(1);
    HttpClient http(io.get_executor());
    SloCounts counts;
    for (const Endpoint& box : boxes) {
        Spawn(io.get_executor(), ReadBox(http, box, counts, unread));
    }
    io.run();
    return counts;
}

void Pause(int seconds) {
    asio::io_context io(1);
    Spawn(io.get_executor(), SleepFor(Millis{1000} * seconds));
    io.run();
}

std::vector<BurnRow> Rows(const SloCounts& shortPart, const SloCounts& longPart, double objective) {
    std::vector<BurnRow> rows;
    for (const auto& [key, count] : longPart) {
        const auto recent = shortPart.find(key);
        const SloCount shortCount = recent == shortPart.end() ? SloCount{} : recent->second;
        rows.push_back({key, objective, shortCount, count});
    }
    return rows;
}

void Print(const std::vector<BurnRow>& rows, bool json) {
    if (!json) {
        std::fputs(BurnTable(rows).c_str(), stdout);
        return;
    }
    nlohmann::json out = nlohmann::json::array();
    for (const BurnRow& row : rows) {
        out.push_back({{"service", row.key.service},
                       {"team", row.key.team},
                       {"priority", row.key.priority},
                       {"objective", row.objective},
                       {"short", {{"total", row.shortWindow.total}, {"bad", row.shortWindow.bad}}},
                       {"long", {{"total", row.longWindow.total}, {"bad", row.longWindow.bad}}},
                       {"verdict", BurnVerdict(row)}});
    }
    std::printf("%s\n", out.dump(2).c_str());
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"Service-level burn report of onyxcleat"};
    Options options;
    app.add_option("--box", options.boxes, "Metrics address of a box, ip:port (repeat)")
        ->required();
    app.add_option("--short", options.shortWindow, "Short window, seconds")
        ->check(CLI::Range(1, 86400));
    app.add_option("--long", options.longWindow, "Long window, seconds")
        ->check(CLI::Range(1, 86400));
    app.add_option("--objective", options.objective, "Share of requests that must be good")
        ->check(CLI::Range(0.5, 0.99999));
    app.add_flag("--now", options.now, "Report what the boxes counted since they started");
    app.add_flag("--json", options.json, "Print JSON");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    std::vector<Endpoint> boxes;
    for (const std::string& text : options.boxes) {
        const auto endpoint = ParseEndpoint(text);
        if (endpoint.has_error()) {
            return FailWith(endpoint.error());
        }
        boxes.push_back(endpoint.value());
    }
    int unread = 0;
    const SloCounts first = ReadAll(boxes, unread);
    if (options.now) {
        Print(Rows(first, first, options.objective), options.json);
        return unread == 0 ? kExitOk : kExitFailed;
    }
    const int early = std::max(0, options.longWindow - options.shortWindow);
    Pause(early);
    const SloCounts middle = ReadAll(boxes, unread);
    Pause(std::min(options.shortWindow, options.longWindow));
    const SloCounts last = ReadAll(boxes, unread);
    Print(Rows(SloBetween(middle, last), SloBetween(first, last), options.objective), options.json);
    return unread == 0 ? kExitOk : kExitFailed;
}
