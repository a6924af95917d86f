// The values of admission by room: what boxes count of the requests for a service, and which part
// of them may be sent. Room is what the upstreams of a service can finish in time.
#pragma once

#include "include/base/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace onyx {

// Requests that are admitted alike.
struct DemandClass {
    int priority = 5;   // 0 is the most urgent.
    uint32_t team = 0;  // ShortHash of its name; 0: all teams that are not listed, or no team.
    friend auto operator<=>(const DemandClass&, const DemandClass&) = default;
};

// Requests of a class, per second.
struct ClassCounts {
    DemandClass of;
    double arrived = 0;   // Before admission, without those that return before their time.
    double admitted = 0;  // Of these.
};

// Requests of one priority that ended at upstreams, per second.
struct PriorityCounts {
    int priority = 5;
    Millis objective = 0;    // The shortest one of their routes.
    double finished = 0;     // Answered by an upstream.
    double late = 0;         // Of these, first byte after the objective.
    double busyMs = 0;       // Time that the finished ones spent at upstreams, in milliseconds.
    double firstByteMs = 0;  // Mean time to the first byte, in milliseconds.
};

// What one or more boxes saw of a service lately.
struct RoomCounts {
    // Bounds the size of a message. Classes beyond it are counted together, as those of team 0.
    static constexpr size_t kMaxClasses = 48;
    // Less urgent priorities are counted together with the last one of these.
    static constexpr size_t kMaxPriorities = 16;

    size_t boxes = 1;      // That the counts cover.
    bool pressed = false;  // Some of them saw signs of a shortage.
    double inFlight = 0;   // Requests at upstreams now.
    double declined = 0;   // Turned away by upstreams for want of room, per second.
    std::vector<ClassCounts> classes;
    std::vector<PriorityCounts> priorities;

    // Adds the counts of other boxes. Keeps at most kMaxClasses classes, those with the most
    // arrivals. Preconditions: none. Thread safety: none.
    void add(const RoomCounts& other);
};

// The part of a class's requests that may be sent.
struct ClassShare {
    DemandClass of;
    double fraction = 1;  // 0 to 1.
};

// Which requests for a service are admitted, at all boxes alike.
struct RoomShares {
    bool limited = false;  // There is not room for all.
    // Classes that get less than all. Team 0 stands for all teams of its priority that are not
    // listed; a class to which nothing applies is not limited.
    std::vector<ClassShare> classes;
    Millis retryAfter = 0;  // Mean time after which a refused caller may find room.

    // Returns the part of the class's requests that may be sent. Preconditions: none.
    // Thread safety: any thread.
    double fractionOf(const DemandClass& of) const;
};

}  // namespace onyx
