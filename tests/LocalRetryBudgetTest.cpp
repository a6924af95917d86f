#include "include/admission/LocalRetryBudget.h"

#include <catch2/catch.hpp>

using namespace onyx;

TEST_CASE("Retries stay within the share of first attempts in every window") {
    LocalRetryBudget allowance({10000, 0.2, 0}, {0}, 1);
    int taken = 0;
    for (int i = 0; i < 100; ++i) {
        const MonoTime now{20000 + i * 10};
        allowance.recordFirstAttempt(now);
        taken += allowance.tryAcquireRetry(now, 1) ? 1 : 0;
    }
    CHECK(taken == 20);
    CHECK(allowance.retries({20990}) == 20);
    // The window has moved on; first attempts and retries before it are dropped.
    CHECK_FALSE(allowance.tryAcquireRetry({40000}, 1));
    CHECK(allowance.retries({40000}) == 0);
}

TEST_CASE("A restarted box has no slack until one window has passed") {
    LocalRetryBudget allowance({10000, 0.2, 3}, {5000}, 1);
    CHECK_FALSE(allowance.tryAcquireRetry({5000}, 1));
    CHECK_FALSE(allowance.tryAcquireRetry({14999}, 1));
    CHECK(allowance.tryAcquireRetry({15000}, 1));
    CHECK(allowance.tryAcquireRetry({15000}, 1));
    CHECK(allowance.tryAcquireRetry({15000}, 1));
    CHECK_FALSE(allowance.tryAcquireRetry({15000}, 1));
}

TEST_CASE("The boxes of a site share its slack") {
    for (const size_t boxes : {size_t{1}, size_t{4}, size_t{85}}) {
        size_t taken = 0;
        for (size_t box = 0; box < boxes; ++box) {
            LocalRetryBudget allowance({10000, 0.2, 40}, {0}, box);
            while (allowance.tryAcquireRetry({10000}, boxes)) {
                ++taken;
            }
        }
        CHECK(taken <= 40);
        CHECK((taken > 0 || boxes > 40));
    }
}

TEST_CASE(
    "The slack is divided by a minimum number of boxes, and each service has its own budget") {
    const LocalRetryBudgetSettings settings{10000, 0, 16, 8};
    LocalRetryBudgets allowances(settings, {0}, 1);
    const auto taken = [&](const char* service, size_t boxesKnown) {
        int count = 0;
        while (allowances.tryAcquireRetry(ServiceId(service), boxesKnown, {10000})) {
            ++count;
        }
        return count;
    };
    CHECK(taken("few", 1) == 2);
    CHECK(taken("many", 16) == 1);
    allowances.recordFirstAttempt(ServiceId("many"), {10000});
    CHECK(taken("many", 16) == 0);
}

// Guards against a slack that no box can use: on a site of a thousand boxes each one's part of it
// is less than one retry, and all of them rounded it down.
TEST_CASE("The boxes of a large site use the slack that they share, and no more than it") {
    const size_t boxes = GENERATE(as<size_t>(), 295, 985, 1970);
    constexpr double kSlack = 1040;
    const auto settings = LocalRetryBudgetSettings::FromOperatorBudget(10000, 0.2, kSlack, 8);
    for (int window = 1; window <= 10; ++window) {
        size_t taken = 0;
        for (size_t box = 0; box < boxes; ++box) {
            LocalRetryBudget budget(settings, {0}, box);
            for (int i = 0; i < 8; ++i) {
                taken += budget.tryAcquireRetry({window * 10000 + i * 1000}, boxes) ? 1 : 0;
            }
        }
        INFO(boxes << " boxes, window " << window << ": " << taken);
        CHECK(taken <= kSlack);
        CHECK(taken >= 0.9 * settings.slack);
    }
}

TEST_CASE("The rounding is the same for a whole window, however often a retry is asked for") {
    const auto settings = LocalRetryBudgetSettings::FromOperatorBudget(10000, 0.2, 1040, 8);
    size_t taken = 0;
    for (size_t box = 0; box < 985; ++box) {
        LocalRetryBudget budget(settings, {0}, box);
        for (int i = 0; i < 100; ++i) {
            taken += budget.tryAcquireRetry({10000 + i * 99}, 985) ? 1 : 0;
        }
    }
    CHECK(taken <= 1040);
}
