// onyx-agent: the box's session with the platform.
#include "include/net/Launch.h"
#include "include/net/Program.h"
#include "include/observe/Events.h"
#include "modules/standalone/include/agent/Agent.h"

using namespace onyx;

int main(int argc, char** argv) {
    AgentSettings settings;
    const Launch launch =
        ReadLaunch(argc, argv, "Agent of an onyxcleat box",
                   [&](SettingsReader& reader) { settings = AgentSettings::Read(reader); });
    if (launch.exitCode) {
        return *launch.exitCode;
    }
    SetUpLog("onyx-agent/" + settings.box, settings.logLevel);
    asio::io_context io(1);
    Agent agent(io, settings);
    agent.start();
    logEvent(Event::kStarted, {{"router", EndpointText(settings.router)},
                               {"platform", EndpointText(settings.platform)}});
    RunUntilStopped(io, [&] { io.stop(); });
    std::_Exit(kExitOk);
}
