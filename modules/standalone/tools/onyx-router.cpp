// onyx-router: takes callers' requests and the other boxes' frames.
#include "include/net/Launch.h"
#include "include/net/Program.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/router/Router.h"

using namespace onyx;

int main(int argc, char** argv) {
    RouterSettings settings;
    const Launch launch =
        ReadLaunch(argc, argv, "Router of an onyxcleat box",
                   [&](SettingsReader& reader) { settings = RouterSettings::Read(reader); });
    if (launch.exitCode) {
        return *launch.exitCode;
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
