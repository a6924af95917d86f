// onyx-fake-platform: stand-in for the platform's object API.
#include "include/net/Program.h"
#include "modules/standalone/include/standin/FakePlatform.h"
#include "modules/standalone/include/standin/StandinMain.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <sstream>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for the platform"};
    std::string listen = "127.0.0.1:0";
    std::vector<std::string> boxes;
    app.add_option("--listen", listen, "Address, ip:port");
    app.add_option("--box", boxes, "A box for the list: name,zone,ip:port (repeat)");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    FakePlatform platform(io);
    for (const std::string& text : boxes) {
        std::istringstream in(text);
        FakePlatform::Box box;
        std::getline(in, box.name, ',');
        std::getline(in, box.zone, ',');
        std::getline(in, box.address, ',');
        if (box.name.empty() || box.zone.empty()) {
            std::fprintf(stderr, "--box: expected name,zone,ip:port, found %s\n", text.c_str());
            return kExitBadInput;
        }
        platform.addBox(std::move(box));
    }
    return ServeStandin("onyx-fake-platform", listen, io,
                        [&](HttpExchange& exchange) { return platform.handle(exchange); });
}
