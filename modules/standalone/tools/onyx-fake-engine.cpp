// onyx-fake-engine: stand-in for a model engine.
#include "include/net/Program.h"
#include "modules/standalone/include/standin/FakeEngine.h"
#include "modules/standalone/include/standin/StandinMain.h"

#include <CLI/CLI.hpp>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for a model engine"};
    std::string listen = "127.0.0.1:0";
    FakeEngineSettings settings;
    app.add_option("--listen", listen, "Address, ip:port");
    app.add_option("--step-ms", settings.stepBase, "Milliseconds for one step");
    app.add_option("--batch", settings.mostInBatch, "Most requests in a batch");
    app.add_option("--cache-tokens", settings.cacheTokens, "Prefix cache, in tokens");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    FakeEngine engine(io, settings);
    engine.start();
    return ServeStandin("onyx-fake-engine", listen, io,
                        [&](HttpExchange& exchange) { return engine.handle(exchange); });
}
