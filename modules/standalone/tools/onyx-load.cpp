// onyx-load: sends returning chats and keyed requests to entry boxes and checks every answer.
#include "include/net/Program.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/standin/LoadRun.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Load and experiment tool of onyxcleat (loopback only)"};
    LoadSettings settings;
    std::vector<std::string> targets;
    bool keys = false;
    app.add_option("--target", targets, "Entry box, ip:port (repeat)")->required();
    app.add_option("--token", settings.tokens, "A team's token (repeat)")->required();
    app.add_option("--model", settings.model, "Service for chats");
    app.add_option("--keyed-service", settings.keyedService, "Service that may not be repeated");
    app.add_option("--keyed-share", settings.keyedShare, "Share of keyed requests");
    app.add_option("--urgent-share", settings.urgentShare, "Share of urgent chats");
    app.add_option("--requests", settings.requests, "Requests in all")
        ->check(CLI::Range(1, 1000000));
    app.add_option("--workers", settings.workers, "Requests at a time")->check(CLI::Range(1, 2000));
    app.add_option("--chats", settings.chats, "Chats that return")->check(CLI::Range(1, 1000000));
    app.add_option("--tokens", settings.maxTokens, "Tokens of an answer");
    app.add_option("--pause-ms", settings.pause, "Pause between a worker's requests");
    app.add_option("--deadline-ms", settings.deadline, "Deadline of a request");
    app.add_option("--most-ms", settings.mostTime, "Longest run");
    app.add_option("--key-tries", settings.keyTries, "Tries of one key");
    app.add_option("--seed", settings.seed, "Seed of the random numbers");
    app.add_flag("--keys", keys, "Print each key's outcome");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    for (const std::string& text : targets) {
        const auto endpoint = ParseEndpoint(text);
        if (endpoint.has_error()) {
            return FailWith(endpoint.error());
        }
        if (!endpoint.value().address().is_loopback()) {
            return FailWith(
                {ErrorCode::kBadInput, "--target", text, "expected a loopback address"});
        }
        settings.targets.push_back(endpoint.value());
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    LoadRun run(io, settings);
    run.start();
    io.run();
    std::printf("%s\n", run.report().json(keys).c_str());
    std::fflush(stdout);
    std::_Exit(run.report().wrong == 0 ? kExitOk : kExitFailed);
}
