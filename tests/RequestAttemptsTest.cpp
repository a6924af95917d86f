#include "include/relay/RequestAttempts.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace onyx;

namespace {

constexpr std::array<AttemptEnd, 7> kEnds = {
    AttemptEnd::kNotSent, AttemptEnd::kDeclined, AttemptEnd::kMisdirected,  AttemptEnd::kFailed,
    AttemptEnd::kUnclear, AttemptEnd::kAnswered, AttemptEnd::kStreamBroken,
};

bool MayHaveRun(AttemptEnd end) {
    return end != AttemptEnd::kNotSent && end != AttemptEnd::kDeclined &&
           end != AttemptEnd::kMisdirected;
}

// Visits every sequence of attempt ends that the state allows and calls `check` at each final step.
template <class Check>
void VisitPaths(const AttemptRules& rules, const AttemptFacts& facts, std::vector<AttemptEnd>& path,
                const RequestAttempts& state, Check&& check) {
    for (const AttemptEnd end : kEnds) {
        RequestAttempts next = state;
        const NextStep step = next.ended(end, facts, [] { return true; }).step;
        path.push_back(end);
        if (step == NextStep::kRetry) {
            REQUIRE(path.size() < 20);
            VisitPaths(rules, facts, path, next, check);
        } else {
            check(path, step);
        }
        path.pop_back();
    }
}

}  // namespace

TEST_CASE("A non-repeatable request runs at most once and is refused only if it cannot have run") {
    const bool head = GENERATE(false, true);
    const AttemptRules rules{false, false, GENERATE(1, 2, 3)};
    AttemptFacts facts;
    facts.callerHasHead = head;
    std::vector<AttemptEnd> path;
    int paths = 0;
    VisitPaths(rules, facts, path, RequestAttempts(rules), [&](const auto& ends, NextStep step) {
        ++paths;
        int ran = 0;
        for (const AttemptEnd end : ends) {
            ran += MayHaveRun(end) ? 1 : 0;
        }
        CHECK(ran <= 1);
        CHECK((step != NextStep::kRefuse || ran == 0));
    });
    CHECK(paths > 7);
}

TEST_CASE("A repeatable request reaches at most as many upstreams as its route allows") {
    const AttemptRules rules{true, true, GENERATE(1, 2, 3)};
    const AttemptFacts facts;
    std::vector<AttemptEnd> path;
    VisitPaths(rules, facts, path, RequestAttempts(rules), [&](const auto& ends, NextStep step) {
        int attempts = 0;
        bool mayHaveRun = false;
        for (const AttemptEnd end : ends) {
            attempts += end == AttemptEnd::kNotSent || end == AttemptEnd::kMisdirected ? 0 : 1;
            mayHaveRun = mayHaveRun || MayHaveRun(end);
        }
        CHECK(attempts <= rules.maxAttempts);
        CHECK((step != NextStep::kRefuse || !mayHaveRun));
    });
}

TEST_CASE("A retry needs time, and also retry budget if the request was sent") {
    const AttemptRules rules{true, true, 3};
    AttemptFacts late;
    late.timeLeft = false;
    RequestAttempts first(rules);
    CHECK(first.ended(AttemptEnd::kUnclear, late, [] { return true; }).step == NextStep::kFail);
    RequestAttempts second(rules);
    CHECK(second.ended(AttemptEnd::kUnclear, {}, [] { return false; }).step == NextStep::kFail);
    RequestAttempts third(rules);
    CHECK(third.ended(AttemptEnd::kNotSent, {}, [] { return false; }).step == NextStep::kRetry);
}

TEST_CASE("Without a retry, a failure is delivered unless the caller has the head of a stream") {
    const AttemptRules rules{false, false, 1};
    RequestAttempts plain(rules);
    CHECK(plain.ended(AttemptEnd::kFailed, {}, [] { return true; }).step == NextStep::kDeliver);
    AttemptFacts headSent;
    headSent.callerHasHead = true;
    RequestAttempts stream(rules);
    CHECK(stream.ended(AttemptEnd::kFailed, headSent, [] { return true; }).step ==
          NextStep::kBreak);
}

TEST_CASE("A broken stream continues on another upstream only if it is resumable") {
    AttemptFacts headSent;
    headSent.callerHasHead = true;
    RequestAttempts resumable(AttemptRules{true, true, 2});
    CHECK(resumable.ended(AttemptEnd::kStreamBroken, headSent, [] { return true; }).step ==
          NextStep::kRetry);
    RequestAttempts other(AttemptRules{false, false, 2});
    CHECK(other.ended(AttemptEnd::kStreamBroken, headSent, [] { return true; }).step ==
          NextStep::kBreak);
}

// The events of a second run were appended to the first part of a body.
TEST_CASE(
    "What the caller has and no upstream can continue is broken off, however the attempt ends") {
    AttemptFacts body;
    body.callerHasHead = true;
    body.mayContinue = false;
    const AttemptEnd end =
        GENERATE(AttemptEnd::kNotSent, AttemptEnd::kDeclined, AttemptEnd::kFailed,
                 AttemptEnd::kUnclear, AttemptEnd::kStreamBroken);
    RequestAttempts attempts(AttemptRules{true, true, 3});
    const Verdict verdict = attempts.ended(end, body, [] { return true; });
    CHECK(verdict.step == NextStep::kBreak);
    CHECK(verdict.reason == StepReason::kNotResumable);
}

TEST_CASE("A failure that the caller has to its end is delivered") {
    AttemptFacts all;
    all.callerHasHead = true;
    all.mayContinue = false;
    all.callerHasAll = true;
    RequestAttempts attempts(AttemptRules{false, false, 1});
    CHECK(attempts.ended(AttemptEnd::kFailed, all, [] { return true; }).step == NextStep::kDeliver);
}

TEST_CASE("The verdict contains the reason why a request is not retried") {
    const auto yes = [] { return true; };
    const auto no = [] { return false; };
    const AttemptFacts facts;
    AttemptFacts late;
    late.timeLeft = false;
    const AttemptRules twice{true, true, 2};
    CHECK(RequestAttempts(twice).ended(AttemptEnd::kUnclear, late, yes).reason ==
          StepReason::kNoTime);
    CHECK(RequestAttempts(twice).ended(AttemptEnd::kUnclear, facts, no).reason ==
          StepReason::kNoBudget);
    CHECK(RequestAttempts(twice).ended(AttemptEnd::kUnclear, facts, yes).reason ==
          StepReason::kMayRetry);
    CHECK(RequestAttempts({true, true, 1}).ended(AttemptEnd::kUnclear, facts, yes).reason ==
          StepReason::kAttemptsUsed);
    CHECK(RequestAttempts({false, false, 2}).ended(AttemptEnd::kUnclear, facts, yes).reason ==
          StepReason::kNotRepeatable);
    CHECK(RequestAttempts({true, false, 2}).ended(AttemptEnd::kStreamBroken, facts, yes).reason ==
          StepReason::kNotResumable);
    RequestAttempts unsent(twice);
    StepReason reason = StepReason::kMayRetry;
    for (int i = 0; i < twice.maxUnsent; ++i) {
        reason = unsent.ended(AttemptEnd::kNotSent, facts, no).reason;
    }
    CHECK(reason == StepReason::kConnectionsUsed);
}

TEST_CASE("The last attempt that a route allows is recognized before it starts") {
    RequestAttempts attempts({true, false, 2});
    CHECK(attempts.mayRetryUnanswered());
    CHECK_FALSE(attempts.mayRetryBroken());
    attempts.ended(AttemptEnd::kUnclear, {}, [] { return true; });
    CHECK_FALSE(attempts.mayRetryUnanswered());
}
