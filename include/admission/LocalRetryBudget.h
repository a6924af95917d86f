// Decides whether this box's part of the retry budget allows another attempt.
//
// Inputs: the first attempts and the retries of this box at one service within the window; how many
// boxes share the slack. The operators' budget covers all boxes together: in any window,
// retries <= share x first attempts + slack. No box knows the counts of the others, so each keeps
// the budget with its own first attempts and an equal part of the slack. On a large site this part
// is less than one retry, so each box rounds it at random: up as often as it takes for the boxes
// together to have the whole slack.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace onyx {

// This box's part of the operators' budget.
struct LocalRetryBudgetSettings {
    // The part of the budget that is planned with. The rest is for requests whose first attempt
    // leaves the window before their retry does, and for boxes that are not known yet.
    static constexpr double kPlannedFraction = 0.75;
    // The slack is divided by at least this many boxes, however few are known: a box that has just
    // started knows no others.
    static constexpr size_t kDefaultMinBoxes = 8;

    Millis window = 10000;  // In milliseconds.
    double share = 0.2;     // Retries per first attempt.
    double slack = 0;       // Retries per window, of all boxes together.
    size_t minBoxes = kDefaultMinBoxes;

    // Returns settings that use kPlannedFraction of the operators' budget. `window` in
    // milliseconds. Preconditions: window > 0, share >= 0, slack >= 0. Thread safety: any thread.
    static LocalRetryBudgetSettings FromOperatorBudget(Millis window, double share, double slack,
                                                       size_t minBoxes) {
        return {window, kPlannedFraction * share, kPlannedFraction * slack, minBoxes};
    }
};

// The retry budget of this box for one service. A box that has just started has no slack for one
// window, since its incarnation before may have spent it. Thread safety: none; one task owns it.
class LocalRetryBudget {
public:
    // Preconditions: window > 0, share >= 0, slack >= 0. `start`: when the process started. `seed`:
    // of the random rounding.
    LocalRetryBudget(const LocalRetryBudgetSettings& settings, MonoTime start, uint64_t seed)
        : m_settings(settings), m_start(start), m_seed(seed) {}

    // Counts a request's first attempt. Preconditions: `now` never decreases between calls.
    void recordFirstAttempt(MonoTime now) { m_firstAttempts.push_back(now); }

    // Takes one retry from the budget; returns false if none is left. `boxes`: how many boxes share
    // the slack, this one included. Preconditions: `now` never decreases between calls; boxes > 0.
    bool tryAcquireRetry(MonoTime now, size_t boxes);

    // Returns whether tryAcquireRetry() would take one. Preconditions: as there.
    bool hasRetry(MonoTime now, size_t boxes);

    // Returns the number of retries within the window.
    // Preconditions: `now` never decreases between calls.
    size_t retries(MonoTime now);

private:
    void dropExpired(MonoTime now);
    bool roundsAtRandom(size_t boxes) const;
    double roundingOffset(MonoTime now) const;

    LocalRetryBudgetSettings m_settings;
    MonoTime m_start;
    uint64_t m_seed;
    std::deque<MonoTime> m_firstAttempts;
    std::deque<MonoTime> m_retries;
};

// The retry budgets of all services. Thread safety: none; one task owns it.
class LocalRetryBudgets {
public:
    // Preconditions, `start` and `seed`: as for LocalRetryBudget.
    LocalRetryBudgets(const LocalRetryBudgetSettings& settings, MonoTime start, uint64_t seed)
        : m_settings(settings), m_start(start), m_seed(seed) {}

    // Counts a request's first attempt at `service`.
    // Preconditions: `now` never decreases between calls.
    void recordFirstAttempt(const ServiceId& service, MonoTime now) {
        budgetOf(service).recordFirstAttempt(now);
    }

    // Takes one retry for `service`; returns false if none is left. `boxesKnown`: number of boxes
    // of the site that this box knows, itself included; at least `minBoxes` are assumed.
    // Preconditions: `now` never decreases between calls.
    bool tryAcquireRetry(const ServiceId& service, size_t boxesKnown, MonoTime now);

    // Returns whether tryAcquireRetry() would take one. Preconditions: as there.
    bool hasRetry(const ServiceId& service, size_t boxesKnown, MonoTime now);

private:
    LocalRetryBudget& budgetOf(const ServiceId& service);

    LocalRetryBudgetSettings m_settings;
    MonoTime m_start;
    uint64_t m_seed;
    std::map<ServiceId, LocalRetryBudget> m_budgets;
};

}  // namespace onyx
