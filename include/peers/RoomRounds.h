// Decides which shares of several roots apply: those of the best ranked root that was heard of
// lately, each of its rounds once.
#pragma once

#include "include/base/Time.h"
#include "include/membership/RoomKeepers.h"

#include <array>
#include <cstdint>
#include <optional>

namespace onyx {

// Not thread safe: one task owns it.
class RoomRounds {
public:
    // Records a message of the root of this rank and returns whether it applies.
    // Preconditions: `now` does not decrease between calls.
    bool accept(size_t rank, uint64_t round, MonoTime now);

private:
    struct Heard {
        uint64_t round = 0;
        MonoTime at;
    };

    bool isRecent(size_t rank, MonoTime now) const;

    std::array<std::optional<Heard>, RoomKeepers::kRoots + 1> m_heard;  // By rank.
};

}  // namespace onyx
