#include "include/relay/RequestState.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace onyx;

namespace {

constexpr std::array<SendEnd, 7> kEnds = {
    SendEnd::kNotSent, SendEnd::kDeclined, SendEnd::kMisdirected,  SendEnd::kFailed,
    SendEnd::kUnclear, SendEnd::kAnswered, SendEnd::kStreamBroken,
};

bool MayHaveRun(SendEnd end) {
    return end != SendEnd::kNotSent && end != SendEnd::kDeclined && end != SendEnd::kMisdirected;
}

// Walks every sequence of ends that the state allows, and calls `check` at each final step.
template <class Check>
void Walk(const RequestRules& rules, const RequestFacts& facts, std::vector<SendEnd>& path,
          const RequestState& state, Check&& check) {
    for (const SendEnd end : kEnds) {
        RequestState next = state;
        const NextStep step = next.sendEnded(end, facts, [] { return true; });
        path.push_back(end);
        if (step == NextStep::kSendAgain) {
            REQUIRE(path.size() < 20);
            Walk(rules, facts, path, next, check);
        } else {
            check(path, step);
        }
        path.pop_back();
    }
}

}  // namespace

TEST_CASE("A request that may not be repeated runs at most once, and a refusal is true") {
    const bool head = GENERATE(false, true);
    const RequestRules rules{false, false, GENERATE(1, 2, 3)};
    RequestFacts facts;
    facts.callerHasHead = head;
    std::vector<SendEnd> path;
    int paths = 0;
    Walk(rules, facts, path, RequestState(rules), [&](const auto& ends, NextStep step) {
        ++paths;
        int ran = 0;
        for (const SendEnd end : ends) {
            ran += MayHaveRun(end) ? 1 : 0;
        }
        CHECK(ran <= 1);
        CHECK((step != NextStep::kRefuse || ran == 0));
    });
    CHECK(paths > 7);
}

TEST_CASE("A repeatable request goes to no more upstreams than its route allows") {
    const RequestRules rules{true, true, GENERATE(1, 2, 3)};
    const RequestFacts facts;
    std::vector<SendEnd> path;
    Walk(rules, facts, path, RequestState(rules), [&](const auto& ends, NextStep step) {
        int sends = 0;
        bool mayHaveRun = false;
        for (const SendEnd end : ends) {
            sends += end == SendEnd::kNotSent || end == SendEnd::kMisdirected ? 0 : 1;
            mayHaveRun = mayHaveRun || MayHaveRun(end);
        }
        CHECK(sends <= rules.maxAttempts);
        CHECK((step != NextStep::kRefuse || !mayHaveRun));
    });
}

TEST_CASE("Nothing is sent again without time, or without a budget once it was sent") {
    const RequestRules rules{true, true, 3};
    RequestFacts late;
    late.timeLeft = false;
    RequestState first(rules);
    CHECK(first.sendEnded(SendEnd::kUnclear, late, [] { return true; }) == NextStep::kFail);
    RequestState second(rules);
    CHECK(second.sendEnded(SendEnd::kUnclear, {}, [] { return false; }) == NextStep::kFail);
    RequestState third(rules);
    CHECK(third.sendEnded(SendEnd::kNotSent, {}, [] { return false; }) == NextStep::kSendAgain);
}

TEST_CASE("A failed answer goes to the caller when nothing more is tried, unless it has a head") {
    const RequestRules rules{false, false, 1};
    RequestState plain(rules);
    CHECK(plain.sendEnded(SendEnd::kFailed, {}, [] { return true; }) == NextStep::kDeliver);
    RequestFacts headSent;
    headSent.callerHasHead = true;
    RequestState stream(rules);
    CHECK(stream.sendEnded(SendEnd::kFailed, headSent, [] { return true; }) == NextStep::kBreak);
}

TEST_CASE("A broken stream goes on elsewhere only if it may be resumed") {
    RequestFacts headSent;
    headSent.callerHasHead = true;
    RequestState resumable(RequestRules{true, true, 2});
    CHECK(resumable.sendEnded(SendEnd::kStreamBroken, headSent, [] { return true; }) ==
          NextStep::kSendAgain);
    RequestState other(RequestRules{false, false, 2});
    CHECK(other.sendEnded(SendEnd::kStreamBroken, headSent, [] { return true; }) ==
          NextStep::kBreak);
}
