// onyx-fake-site: a store and some replicas of the platform in one process, for the demo.
#include "include/net/Program.h"
#include "platform/standin/FakeSite.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for the platform: its store, model replicas and plain replicas"};
    uint16_t port = 0;
    int models = 3;
    int plain = 2;
    app.add_option("--store-port", port, "Port of the store on 127.0.0.1 (0: any)");
    app.add_option("--models", models, "Model replicas")->check(CLI::Range(1, 100));
    app.add_option("--plain", plain, "Replicas of the plain service")->check(CLI::Range(1, 100));
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    auto site = platform::FakeSite::Make(io, port, models, plain);
    if (site.has_error()) {
        return FailWith(site.error());
    }
    std::printf("store %s\n", EndpointText(site.value()->store().endpoint()).c_str());
    std::fflush(stdout);
    RunUntilStopped(io, [&] { io.stop(); });
    return kExitOk;
}
