// What every program does alike: version, settings check, log, io_context and signals.
#pragma once

#include "include/config/Settings.h"
#include "include/net/Net.h"

#include <functional>
#include <string>
#include <string_view>

namespace onyx {

inline constexpr std::string_view kVersion = "onyxcleat 0.1.0";

// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadInput = 2;

// Prints an error the same way everywhere and returns kExitBadInput or kExitFailed.
// Thread safety: none.
int FailWith(const Error& error);

// Reads `path`, lets `read` ask for the keys, and reports problems on standard error; true if the
// file is good. Thread safety: none.
bool ReadSettingsFile(const std::string& path, const std::function<void(SettingsReader&)>& read);

// Returns how many descriptors the system lets this process open. Thread safety: any thread.
size_t DescriptorLimit();

// Runs `io` until it is stopped. The first SIGTERM or SIGINT calls `onStop`, which must see to it
// that the context stops. Further ones are only logged: platforms signal whole groups, or ask
// again, and what is under way must not be cut. Preconditions: none. Thread safety: none.
void RunUntilStopped(asio::io_context& io, const std::function<void()>& onStop);

}  // namespace onyx
