#include "include/observe/Burn.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace onyx {

namespace {

// The value of label `name` in "metric{a="x",name="y"} 1"; empty if it is not there.
std::string LabelOf(std::string_view line, std::string_view name) {
    const std::string start = std::string(name) + "=\"";
    const size_t at = line.find(start);
    if (at == std::string_view::npos) {
        return {};
    }
    const size_t from = at + start.size();
    const size_t stop = line.find('"', from);
    return std::string(line.substr(from, stop - from));
}

uint64_t ValueOf(std::string_view line) {
    const std::string_view digits = line.substr(line.rfind(' ') + 1);
    uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

}  // namespace

void AddSloCounts(std::string_view metrics, SloCounts& counts) {
    while (!metrics.empty()) {
        const size_t stop = std::min(metrics.find('\n'), metrics.size());
        const std::string_view line = metrics.substr(0, stop);
        metrics.remove_prefix(std::min(stop + 1, metrics.size()));
        const bool total = line.starts_with("onyx_slo_total{");
        const bool bad = line.starts_with("onyx_slo_bad_total{");
        if (!total && !bad) {
            continue;
        }
        const SloKey key{LabelOf(line, "service"), LabelOf(line, "team"),
                         LabelOf(line, "priority")};
        SloCount& count = counts[key];
        (total ? count.total : count.bad) += ValueOf(line);
    }
}

SloCounts SloBetween(const SloCounts& before, const SloCounts& after) {
    SloCounts between;
    for (const auto& [key, now] : after) {
        const auto old = before.find(key);
        const bool restarted = old != before.end() && old->second.total > now.total;
        const SloCount from = old == before.end() || restarted ? SloCount{} : old->second;
        between[key] = {now.total - from.total, now.bad - std::min(now.bad, from.bad)};
    }
    return between;
}

double BurnRate(const SloCount& count, double objective) {
    if (count.total == 0) {
        return 0;
    }
    const double share = static_cast<double>(count.bad) / static_cast<double>(count.total);
    return share / (1.0 - objective);
}

std::string_view BurnVerdict(const BurnRow& row) {
    const double least =
        std::min(BurnRate(row.shortWindow, row.objective), BurnRate(row.longWindow, row.objective));
    if (least >= kPageBurn) {
        return "page";
    }
    return least >= kTicketBurn ? "ticket" : "ok";
}

std::string BurnTable(const std::vector<BurnRow>& rows) {
    std::string out =
        fmt::format("{:<14} {:<14} {:<11} {:>9} {:>8} {:>11} {:>8} {:>11}  {}\n", "SERVICE", "TEAM",
                    "PRIORITY", "OBJECTIVE", "SHORT", "BURN", "LONG", "BURN", "VERDICT");
    for (const BurnRow& row : rows) {
        out += fmt::format("{:<14} {:<14} {:<11} {:>9.3f} {:>8} {:>11.2f} {:>8} {:>11.2f}  {}\n",
                           row.key.service, row.key.team, row.key.priority, row.objective,
                           row.shortWindow.total, BurnRate(row.shortWindow, row.objective),
                           row.longWindow.total, BurnRate(row.longWindow, row.objective),
                           BurnVerdict(row));
    }
    return out;
}

}  // namespace onyx
