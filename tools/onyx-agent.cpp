// onyx-agent: the box's session with the platform.
#include "include/agent/Agent.h"
#include "include/net/Program.h"
#include "include/observe/Events.h"

#include <CLI/CLI.hpp>

using namespace onyx;

int main(int argc, char** argv) {
    CLI::App app{"Agent of an onyxcleat box"};
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "Settings file (TOML)")->required();
    app.add_flag("--check", check, "Check the settings and exit");
    app.set_version_flag("--version", std::string(kVersion));
    CLI11_PARSE(app, argc, argv);

    AgentSettings settings;
    if (!ReadSettingsFile(path, [&](SettingsReader& r) { settings = AgentSettings::Read(r); })) {
        return kExitBadInput;
    }
    if (check) {
        return kExitOk;
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
