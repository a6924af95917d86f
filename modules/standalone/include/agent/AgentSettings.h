// Settings of onyx-agent, read from its TOML file.
#pragma once

#include "include/config/Settings.h"

#include <string>

namespace onyx {

// All times in milliseconds.
struct AgentSettings {
    std::string box;
    std::string zone;
    Endpoint platform;
    Endpoint router;
    std::string logLevel = "info";
    Millis watchWait = 25000;  // Longest single watch.
    Millis boxListPeriod = 1000;
    Millis retryPause = 500;

    // Reads all keys. Problems stay with the reader. Preconditions: none.
    static AgentSettings Read(SettingsReader& reader);
};

}  // namespace onyx
