#include "include/admission/ConnectionEviction.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

using namespace onyx;

TEST_CASE("A connection that brought no request gives way to a new one before a kept one") {
    const std::vector<CallerActivity> callers = {
        {CallerPhase::kReading, {100}, true},
        {CallerPhase::kReading, {300}, false},
        {CallerPhase::kReading, {200}, false},
        {CallerPhase::kWorking, {0}, false},
    };
    CHECK(ChooseConnectionToClose(callers, {1000}) == 2);
}

TEST_CASE("A kept connection gives way where nothing else does") {
    const std::vector<CallerActivity> callers = {
        {CallerPhase::kWorking, {0}, false},
        {CallerPhase::kReading, {200}, true},
        {CallerPhase::kReading, {100}, true},
    };
    CHECK(ChooseConnectionToClose(callers, {1000}) == 2);
}

TEST_CASE("No connection is closed whose request is handled or whose answer is being taken") {
    const std::vector<CallerActivity> callers = {
        {CallerPhase::kWorking, {0}, false},
        {CallerPhase::kWriting, {500}, false},
    };
    CHECK_FALSE(ChooseConnectionToClose(callers, {500 + kMaxUntakenMs - 1}).has_value());
    CHECK(ChooseConnectionToClose(callers, {500 + kMaxUntakenMs}) == 1);
    CHECK_FALSE(ChooseConnectionToClose({}, {0}).has_value());
}

// Guards against a box whose connections a crowd keeps for itself.
TEST_CASE("A caller that sends its request within its turn is served beside a silent crowd") {
    constexpr size_t kMost = 450;
    constexpr size_t kCaller = 100000;  // Its number among those of the crowd.
    std::deque<std::pair<size_t, CallerActivity>> open;
    Millis now = 0;
    const auto connect = [&](size_t number) {
        if (open.size() == kMost) {
            std::vector<CallerActivity> activities;
            for (const auto& [id, activity] : open) {
                activities.push_back(activity);
            }
            const auto chosen = ChooseConnectionToClose(activities, {now});
            REQUIRE(chosen.has_value());
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(*chosen));
        }
        open.emplace_back(number, CallerActivity{CallerPhase::kReading, {now++}, false});
    };
    for (size_t i = 0; i < 2 * kMost; ++i) {
        connect(i);
    }
    connect(kCaller);
    for (size_t i = 0; i < kMost - 1; ++i) {
        connect(i);
    }
    const bool stays = std::any_of(open.begin(), open.end(),
                                   [](const auto& entry) { return entry.first == kCaller; });
    CHECK(stays);
}
