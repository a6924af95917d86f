// Converts counts and shares of room to and from the frames that boxes exchange (RoomExchange).
// Each frame fits into one datagram that is not fragmented. What other boxes send is not trusted:
// messages with values that no box sends are rejected, and large values are bounded.
#pragma once

#include "generated/frames_generated.h"
#include "include/admission/RoomCounts.h"

#include <cstdint>
#include <optional>
#include <string>

namespace onyx {

// Bytes; longer names of services are not sent and not taken.
inline constexpr size_t kMaxRoomServiceName = 128;
// Bytes of a frame with its header; a datagram of this size is not fragmented.
inline constexpr size_t kMaxRoomFrame = 1400;

// The shares of a service as a root sends them, or a collector passes them on.
struct SharesMessage {
    uint64_t round = 0;   // Of the root, rises with each message; 0: no shares, it only asks.
    size_t rank = 0;      // Of the root among those of the zone, 0 the best.
    bool report = false;  // Boxes are to report.
    Millis age = 0;       // Since the root worked them out, in milliseconds.
    RoomShares shares;
};

// Whether reports on a service of this name are sent. Preconditions: none. Thread safety: any.
inline bool IsRoomServiceName(const std::string& service) {
    return !service.empty() && service.size() <= kMaxRoomServiceName;
}

// Encode a frame. The first RoomCounts::kMaxClasses classes and the first
// RoomCounts::kMaxPriorities priorities are sent. `isSummed`: of several boxes. `isRoot`: the
// sender worked the shares out. Preconditions: IsRoomServiceName(service). Thread safety: any
// thread.
std::string EncodeRoomReport(const std::string& service, const RoomCounts& counts, bool isSummed);
std::string EncodeRoomShares(const std::string& service, const SharesMessage& message, bool isRoot);

// Return the content of a message; nothing if a number in it is negative or none.
// Preconditions: none. Thread safety: any thread.
std::optional<RoomCounts> DecodeRoomReport(const wire::RoomReportT& report);
std::optional<SharesMessage> DecodeRoomShares(const wire::RoomSharesT& shares);

}  // namespace onyx
