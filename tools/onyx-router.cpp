// onyx-router: takes callers' requests and the other boxes' frames.
#include "include/net/Program.h"
#include "include/observe/Events.h"
#include "include/router/Router.h"

#include <CLI/CLI.hpp>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Router of an onyxcleat box"};
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "Settings file (TOML)")->required();
    app.add_flag("--check", check, "Check the settings and exit");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    RouterSettings settings;
    if (!ReadSettingsFile(path, [&](SettingsReader& r) { settings = RouterSettings::Read(r); })) {
        return kExitBadInput;
    }
    if (check) {
        return kExitOk;
    }
    SetUpLog("onyx-router/" + settings.box, settings.logLevel);
    asio::io_context io(1);
    auto router = Router::Make(io, settings);
    if (router.has_error()) {
        logEvent(Event::kListenFailed, {{"error", router.error().text()}});
        return FailWith(router.error());
    }
    logEvent(Event::kStarted, {{"callers", EndpointText(router.value()->callers())},
                               {"peers", EndpointText(router.value()->peers())},
                               {"metrics", EndpointText(router.value()->metrics())}});
    RunUntilStopped(io, [&] { router.value()->drain(); });
    // Tasks that still wait hold references into the router, so the context goes first.
    std::_Exit(kExitOk);
}
