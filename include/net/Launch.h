// How a daemon starts: its command line and its settings file, the same for all of them.
#pragma once

#include "include/config/Settings.h"

#include <functional>
#include <optional>
#include <string>

namespace onyx {

// What the command line came to.
struct Launch {
    std::string settingsPath;
    // The process ends with this at once: help, version and --check are done, or something is bad.
    std::optional<int> exitCode;
};

// Takes `--settings FILE`, `--check`, `--version` and `--help`, and lets `read` ask for the
// settings' keys. Problems go to standard error. Preconditions: none. Thread safety: none.
Launch ReadLaunch(int argc, char** argv, const std::string& description,
                  const std::function<void(SettingsReader&)>& read);

}  // namespace onyx
