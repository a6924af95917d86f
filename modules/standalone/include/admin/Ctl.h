// The operators' command line: tables for people, JSON for programs, exit codes for scripts.
#pragma once

namespace onyx {

// Exit codes of onyxctl, beside those of all programs.
inline constexpr int kExitConflict = 3;     // The configuration has another revision.
inline constexpr int kExitUnavailable = 4;  // The service or the platform cannot be reached.
inline constexpr int kExitNotInForce = 5;   // Some box does not have the accepted revision.

// Runs the command line and returns the exit code. Thread safety: none.
int RunCtl(int argc, char** argv);

}  // namespace onyx
