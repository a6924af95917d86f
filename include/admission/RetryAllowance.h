// Decides whether the retry budget allows another attempt.
//
// Inputs: the first and the repeated attempts of this box at one service within the window, in
// attempts; how many boxes share the slack. The operators' budget is of all boxes together: in any
// window, retries <= share x first attempts + slack. No box knows the others' counts, so each keeps
// the budget with its own first attempts and an equal part of the slack.
#pragma once

#include "include/base/Ids.h"
#include "include/base/Time.h"

#include <cstddef>
#include <deque>
#include <map>

namespace onyx {

// This box's part of the budget.
struct RetryAllowanceSettings {
    // The part of the budget that is planned with. The rest is for requests whose first attempt
    // leaves the window before their retry does, and for boxes that are not known yet.
    static constexpr double kPlannedPart = 0.75;
    // The slack is divided by this many boxes at least, however few are known: a box that has just
    // started knows none.
    static constexpr size_t kDefaultMinBoxes = 8;

    Millis window = 10000;
    double share = 0.2;  // Of the first attempts.
    double slack = 0;    // Attempts, of all boxes together.
    size_t minBoxes = kDefaultMinBoxes;

    // Settings that plan with a part of the operators' budget. Preconditions: as RetryAllowance.
    // Thread safety: any thread.
    static RetryAllowanceSettings Planned(Millis window, double share, double slack,
                                          size_t minBoxes) {
        return {window, kPlannedPart * share, kPlannedPart * slack, minBoxes};
    }
};

// One service's attempts on this box. A new life of a box starts with no slack, since the life
// before may have spent it. Not thread safe: one task owns it.
class RetryAllowance {
public:
    // Preconditions: window > 0, share >= 0, slack >= 0. `start`: when this life began.
    RetryAllowance(const RetryAllowanceSettings& settings, MonoTime start)
        : m_settings(settings), m_start(start) {}

    // Counts a request's first attempt. Preconditions: times do not fall.
    void countFirst(MonoTime now) { m_firsts.push_back(now); }

    // Takes one retry out of the allowance; false if there is none. `boxes`: how many share the
    // slack, this one included. Preconditions: as above; boxes > 0.
    bool takeRetry(MonoTime now, size_t boxes);

    // Retries within the window. Preconditions: as above.
    size_t retries(MonoTime now);

private:
    void forget(MonoTime now);

    RetryAllowanceSettings m_settings;
    MonoTime m_start;
    std::deque<MonoTime> m_firsts;
    std::deque<MonoTime> m_retries;
};

// The allowances of all services. Not thread safe: one task owns it.
class RetryAllowances {
public:
    // Preconditions: as RetryAllowance.
    RetryAllowances(const RetryAllowanceSettings& settings, MonoTime start)
        : m_settings(settings), m_start(start) {}

    // Counts a request's first attempt at `service`. Preconditions: times do not fall.
    void countFirst(const ServiceId& service, MonoTime now) { of(service).countFirst(now); }

    // Takes one retry of a request for `service`; false if there is none. `boxesKnown`: boxes of
    // the site that this one has heard of, itself included. Preconditions: as above.
    bool takeRetry(const ServiceId& service, size_t boxesKnown, MonoTime now);

private:
    RetryAllowance& of(const ServiceId& service);

    RetryAllowanceSettings m_settings;
    MonoTime m_start;
    std::map<ServiceId, RetryAllowance> m_allowances;
};

}  // namespace onyx
