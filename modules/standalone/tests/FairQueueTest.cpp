#include "modules/standalone/include/admission/FairQueue.h"
#include "modules/standalone/include/admission/RetryBudget.h"
#include "modules/standalone/include/admission/TeamLimiter.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

QueuedRequest Request(Ticket ticket, const char* team, Priority priority = Priority::kNormal) {
    return {ticket, TeamId(team), priority, 1.0, {1000}, {0}};
}

}  // namespace

TEST_CASE("Urgent requests go first, whatever waited before them") {
    FairQueue queue({});
    queue.push(Request(1, "kano", Priority::kDeferrable));
    queue.push(Request(2, "kano"));
    queue.push(Request(3, "ibadan", Priority::kUrgent));
    CHECK(queue.pop()->ticket == 3);
    CHECK(queue.pop()->ticket == 2);
    CHECK(queue.pop()->ticket == 1);
}

TEST_CASE("A surging team gets its share and no more") {
    FairQueue queue({});
    for (Ticket i = 0; i < 50; ++i) {
        queue.push(Request(i, "surge"));
    }
    for (Ticket i = 100; i < 110; ++i) {
        queue.push(Request(i, "quiet"));
    }
    int quietServed = 0;
    for (int i = 0; i < 20; ++i) {
        quietServed += queue.pop()->ticket >= 100 ? 1 : 0;
    }
    CHECK(quietServed == 10);
}

TEST_CASE("The queue is bounded in all and for each team") {
    FairQueue queue({.most = 5, .mostOfTeam = 3});
    for (Ticket i = 0; i < 4; ++i) {
        CHECK(queue.push(Request(i, "surge")) == (i < 3));
    }
    CHECK(queue.push(Request(10, "quiet")));
    CHECK(queue.push(Request(11, "calm")));
    CHECK_FALSE(queue.push(Request(12, "late")));
}

TEST_CASE("Nothing waits past its deadline or the longest wait") {
    FairQueue queue({.mostWait = 100});
    queue.push(Request(1, "kano"));
    CHECK(queue.takeExpired({99}).empty());
    CHECK(queue.takeExpired({100}).size() == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("Tries never exceed the first tries by more than the retry share") {
    RetryBudget budget(0.1);
    int tries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.countFirstTry();
        ++tries;
        // Every other request fails, and asks for a retry until one succeeds or none is left.
        while (i % 2 == 0 && budget.takeRetry()) {
            ++tries;
        }
    }
    CHECK(tries <= 1100);
    CHECK(tries > 1050);
}

TEST_CASE("A team's limit is shared by the boxes") {
    TeamLimiter limiter;
    const TeamId team("kano");
    CHECK(limiter.enter(team, 4, 2));
    CHECK(limiter.enter(team, 4, 2));
    CHECK_FALSE(limiter.enter(team, 4, 2));
    limiter.leave(team);
    CHECK(limiter.enter(team, 4, 2));
    CHECK(limiter.enter(team, 0, 2));
}
