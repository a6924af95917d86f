// What the log says of the connection that an attempt used.
#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace onyx {

// Who ended an attempt's connection.
enum class ConnectionEnd : uint8_t {
    kNone,    // Nobody: there was none, or it is kept for another request.
    kReset,   // This box.
    kSystem,  // This box's system: nothing came back from the upstream's machine.
    kPeer,    // The upstream, or its machine.
};

// Name of `end` in logs. Thread safety: any thread.
constexpr std::string_view ConnectionEndName(ConnectionEnd end) {
    switch (end) {
        case ConnectionEnd::kNone:
            return "none";
        case ConnectionEnd::kReset:
            return "this-box";
        case ConnectionEnd::kSystem:
            return "system";
        case ConnectionEnd::kPeer:
            return "upstream";
    }
    return "";
}

// What an attempt's connection was and how it ended: says whether bytes of a request that was given
// up may still be on their way.
struct ConnectionReport {
    uint64_t number = 0;  // Of the connection, in this process; 0: there was none.
    bool kept = false;    // It was taken from the pool, not opened for this attempt.
    Millis idle = 0;      // There, since its last answer.
    std::optional<size_t> unacknowledged;  // Bytes, when this box ended it; else nothing.
    ConnectionEnd end = ConnectionEnd::kNone;
    std::string connectError;  // Why it could not be opened; empty: it was, or nobody tried.
};

}  // namespace onyx
