// Service-level burn: how fast each service's error budget is spent, from two readings of the
// boxes' counters.
#pragma once

#include "include/base/Result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Requests of one service, team and priority.
struct SloKey {
    std::string service;
    std::string team;
    std::string priority;
    friend auto operator<=>(const SloKey&, const SloKey&) = default;
};
struct SloCount {
    uint64_t total = 0;
    uint64_t bad = 0;
};
using SloCounts = std::map<SloKey, SloCount>;

// Adds the counters onyx_slo_total and onyx_slo_bad_total of one box's metrics to `counts`.
// Lines that are something else are passed over. Preconditions: none. Thread safety: any thread.
void AddSloCounts(std::string_view metrics, SloCounts& counts);

// What was counted from `before` to `after`; a box that started anew counts from 0.
// Preconditions: none. Thread safety: any thread.
SloCounts SloBetween(const SloCounts& before, const SloCounts& after);

// Burn rate: bad share over the share that the objective allows. 1 spends the budget exactly
// over the objective's period. Preconditions: 0 < objective < 1. Thread safety: any thread.
double BurnRate(const SloCount& count, double objective);

// One row of the report.
struct BurnRow {
    SloKey key;
    double objective = 0.95;
    SloCount shortWindow;
    SloCount longWindow;
};

// Above this burn in both windows somebody should look now; above the second, today.
inline constexpr double kPageBurn = 14.4;
inline constexpr double kTicketBurn = 3.0;

// The rows as a table. Preconditions: none. Thread safety: any thread.
std::string BurnTable(const std::vector<BurnRow>& rows);

// "page", "ticket" or "ok". Preconditions: none. Thread safety: any thread.
std::string_view BurnVerdict(const BurnRow& row);

}  // namespace onyx
