// The bounded queue of requests that wait for room: strict priority between classes, weighted
// fair shares among the teams inside a class, and no waiting past a deadline.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace onyx {

// Priority classes, most urgent first.
enum class Priority : uint8_t { kUrgent = 0, kNormal = 1, kDeferrable = 2 };
inline constexpr size_t kPriorityCount = 3;

// A number that stands for one waiting or running request at one home.
using Ticket = uint64_t;

// One request that waits.
struct QueuedRequest {
    Ticket ticket = 0;
    TeamId team;
    Priority priority = Priority::kNormal;
    double weight = 1.0;  // The team's share against other teams.
    MonoTime deadline;    // It must start before this.
    MonoTime queuedAt;
};

// Bounds of the queue.
struct QueueLimits {
    size_t most = 256;       // Requests in all.
    size_t mostOfTeam = 64;  // Requests of one team, so that one surge fills its own share only.
    Millis mostWait = 10000;
};

// Not thread safe: one task owns it.
class FairQueue {
public:
    // Preconditions: all limits > 0.
    explicit FairQueue(const QueueLimits& limits) : m_limits(limits) {}

    // Queues `request`; false if a bound is reached. Its deadline is brought forward to
    // queuedAt + mostWait. Preconditions: weight > 0; the ticket is not queued.
    bool push(QueuedRequest request);

    // Takes out the request that goes next. Preconditions: none.
    std::optional<QueuedRequest> pop();

    // Priority of the request that goes next. Preconditions: none.
    std::optional<Priority> nextPriority() const;

    // Takes out all requests whose deadline has passed at `now`. Preconditions: none.
    std::vector<QueuedRequest> takeExpired(MonoTime now);

    // Takes out `ticket`, whose caller went away; false if it is not here. Preconditions: none.
    bool erase(Ticket ticket);

    // Requests waiting. Preconditions: none.
    size_t size() const { return m_size; }

private:
    struct TeamLine {
        std::deque<QueuedRequest> waiting;
        double virtualTime = 0;  // Service received, over weight.
    };
    struct ClassLine {
        std::map<TeamId, TeamLine> teams;
        double virtualTime = 0;  // Of the team served last: newcomers start here.
    };

    size_t countOf(const TeamId& team) const;

    QueueLimits m_limits;
    std::array<ClassLine, kPriorityCount> m_classes;
    size_t m_size = 0;
};

}  // namespace onyx
