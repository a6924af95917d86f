#include "include/net/Launch.h"

#include "include/net/Program.h"

#include <CLI/CLI.hpp>

namespace onyx {

Launch ReadLaunch(int argc, char** argv, const std::string& description,
                  const std::function<void(SettingsReader&)>& read) {
    Launch launch;
    bool check = false;
    CLI::App app{description};
    app.add_option("--settings", launch.settingsPath, "Settings file (TOML)")->required();
    app.add_flag("--check", check, "Check the settings and exit");
    app.set_version_flag("--version", std::string(kVersion));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        launch.exitCode = app.exit(error);
        return launch;
    }
    if (!ReadSettingsFile(launch.settingsPath, read)) {
        launch.exitCode = kExitBadInput;
    } else if (check) {
        launch.exitCode = kExitOk;
    }
    return launch;
}

}  // namespace onyx
