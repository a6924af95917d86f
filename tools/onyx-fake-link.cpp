// onyx-fake-link: stand-in for the network in front of one address; can be cut.
#include "include/net/Program.h"
#include "include/standin/FakeLink.h"
#include "include/standin/StandinMain.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for a network link"};
    std::string to;
    std::string control = "127.0.0.1:0";
    app.add_option("--to", to, "Where to pass the bytes, ip:port")->required();
    app.add_option("--control", control, "HTTP address for /control, ip:port");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    const auto endpoint = ParseEndpoint(to);
    if (endpoint.has_error()) {
        return FailWith(endpoint.error());
    }
    asio::io_context io(1);
    FakeLink link(io, endpoint.value());
    const auto listening = link.listen();
    if (listening.has_error()) {
        return FailWith(listening.error());
    }
    std::printf("%s\n", EndpointText(listening.value()).c_str());
    std::fflush(stdout);
    return ServeStandin("onyx-fake-link", control, io,
                        [&](HttpExchange& exchange) { return link.handle(exchange); });
}
