// onyx-fake-service: stand-in for a plain service.
#include "include/net/Program.h"
#include "modules/standalone/include/standin/FakeService.h"
#include "modules/standalone/include/standin/StandinMain.h"

#include <CLI/CLI.hpp>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for a plain service"};
    std::string listen = "127.0.0.1:0";
    app.add_option("--listen", listen, "Address, ip:port");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    FakeService service;
    return ServeStandin("onyx-fake-service", listen, io,
                        [&](HttpExchange& exchange) { return service.handle(exchange); });
}
