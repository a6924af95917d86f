// Decides which connection of a caller is closed when a new one comes and there may be no more.
//
// Connections that have brought no request yet, or whose caller does not take its answer, go first;
// of these the one that has been without progress for longest. So a crowd of connections that say
// nothing gives way to callers that use theirs. One whose request is being handled is never closed.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace onyx {

// What a caller's connection is doing.
enum class CallerPhase : uint8_t {
    kReading,  // Waits for a request or the rest of one.
    kWorking,  // Its request is being handled.
    kWriting,  // Bytes of an answer wait for the caller to take them.
    kEnding,   // The caller may still read the last answer.
};

struct CallerActivity {
    CallerPhase phase = CallerPhase::kReading;
    MonoTime since;          // Its last progress: bytes that were read, or a change of phase.
    bool wasServed = false;  // A request of it was answered.
};

// A caller that has taken nothing of an answer for this long, in milliseconds, gives way.
inline constexpr Millis kMaxUntakenMs = 1000;

// Returns the index of the connection to close, or nullopt if none may be.
// Preconditions: none. Thread safety: any thread.
std::optional<size_t> ChooseConnectionToClose(std::span<const CallerActivity> connections,
                                              MonoTime now);

}  // namespace onyx
