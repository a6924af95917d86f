#include "include/observe/Metrics.h"

#include <fmt/format.h>

#include <array>

namespace onyx {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

std::string Escaped(std::string_view text) {
    std::string out;
    for (const char c : text) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

std::string SeriesName(std::string_view name, const MetricLabels& labels) {
    std::string out(name);
    if (labels.empty()) {
        return out;
    }
    out += '{';
    for (const auto& [key, value] : labels) {
        out += key + "=\"" + Escaped(value) + "\",";
    }
    out.back() = '}';
    return out;
}

// "name{a="b"}" with one more label.
std::string WithLabel(const std::string& series, const std::string& label) {
    if (series.back() == '}') {
        return series.substr(0, series.size() - 1) + "," + label + "}";
    }
    return series + "{" + label + "}";
}

// "name{a="b"}" with a suffix on the name.
std::string WithSuffix(const std::string& series, const std::string& suffix) {
    const size_t brace = series.find('{');
    return series.substr(0, brace) + suffix +
           (brace == std::string::npos ? "" : series.substr(brace));
}

}  // namespace

void Metrics::count(std::string_view name, const MetricLabels& labels, uint64_t n) {
    const std::string series = SeriesName(name, labels);
    const auto it = m_counters.find(series);
    if (it != m_counters.end()) {
        it->second += n;
    } else if (m_counters.size() < kMaxSeries) {
        m_counters.emplace(series, n);
    } else {
        m_counters[SeriesName(name, {{"series", "other"}})] += n;
    }
}

void Metrics::set(std::string_view name, const MetricLabels& labels, double value) {
    m_gauges[SeriesName(name, labels)] = value;
}

void Metrics::observe(std::string_view name, const MetricLabels& labels, double value) {
    const std::string series = SeriesName(name, labels);
    const auto it =
        m_summaries.try_emplace(series, acc::extended_p_square_probabilities = kQuantiles).first;
    it->second(value);
}

std::string Metrics::text() const {
    std::string out;
    for (const auto& [series, value] : m_counters) {
        out += fmt::format("{} {}\n", series, value);
    }
    for (const auto& [series, value] : m_gauges) {
        out += fmt::format("{} {}\n", series, value);
    }
    for (const auto& [series, summary] : m_summaries) {
        for (const double quantile : kQuantiles) {
            out +=
                fmt::format("{} {}\n", WithLabel(series, fmt::format("quantile=\"{}\"", quantile)),
                            acc::quantile(summary, acc::quantile_probability = quantile));
        }
        out += fmt::format("{} {}\n", WithSuffix(series, "_sum"), acc::sum(summary));
        out += fmt::format("{} {}\n", WithSuffix(series, "_count"), acc::count(summary));
    }
    return out;
}

}  // namespace onyx
