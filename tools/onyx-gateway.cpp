// onyx-gateway: the deployed process of a box on the users' platform.
#include "include/gateway/Gateway.h"
#include "include/net/Launch.h"
#include "include/net/Program.h"
#include "include/observe/BuildId.h"
#include "include/observe/Events.h"
#include "platform/PlatformDialect.h"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace onyx;

namespace {

// Reads the settings file again when its owner says that it changed. Addresses stay as they are
// until the next start; a bad file changes nothing.
void ReloadOnHangUp(asio::signal_set& signals, const std::string& path) {
    signals.async_wait([&signals, path](const boost::system::error_code& ec, int) {
        if (ec) {
            return;
        }
        const bool good =
            ReadSettingsFile(path, [](SettingsReader& r) { GatewaySettings::Read(r); });
        logEvent(Event::kReloaded, {{"good", good ? "yes" : "no"}});
        ReloadOnHangUp(signals, path);
    });
}

}  // namespace

int main(int argc, char** argv) {
    // A hang-up that comes before the settings are read must not end the process.
    asio::io_context io(1);
    asio::signal_set hangUp(io, SIGHUP);
    GatewaySettings settings;
    const Launch launch =
        ReadLaunch(argc, argv,
                   "Gateway of an onyxcleat box. SIGTERM or SIGINT begins a planned stop, SIGQUIT "
                   "ends the process at once, SIGHUP reads the settings again.",
                   [&](SettingsReader& reader) { settings = GatewaySettings::Read(reader); });
    if (launch.exitCode) {
        return *launch.exitCode;
    }
    settings.machine.descriptors = std::min(settings.machine.descriptors, DescriptorLimit());
    SetUpAsyncLog("onyx-gateway/" + settings.box, settings.logLevel);
    const platform::PlatformDialect dialect;
    auto gateway = Gateway::Make(io, settings, dialect);
    if (gateway.has_error()) {
        logEvent(Event::kListenFailed, {{"error", gateway.error().text()}});
        FlushLog();
        std::_Exit(FailWith(gateway.error()));
    }
    logEvent(Event::kStarted, {{"callers", EndpointText(settings.callers)},
                               {"readiness", EndpointText(settings.readiness)},
                               {"build", BuildId()},
                               {"metrics", EndpointText(settings.metrics)}});
    ReloadOnHangUp(hangUp, launch.settingsPath);
    RunUntilStopped(io, [&] { gateway.value()->drain([&io] { io.stop(); }); });
    FlushLog();
    // Tasks that still wait hold references into the gateway, so it is not taken apart.
    std::_Exit(kExitOk);
}
