// Counters and latency summaries of one process, in the common text form. The statistics are
// Boost.Accumulators'.
#pragma once

#include <sstream>  // Boost.Accumulators uses it without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace onyx {

// Labels in a fixed order, such as {{"team", "kano"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Not thread safe: one io_context.
class Metrics {
public:
    static constexpr size_t kMaxSeries = 20000;  // Further label sets are counted as "other".

    // Adds `n` to a counter. Preconditions: `name` in the common form of metric names.
    void count(std::string_view name, const MetricLabels& labels = {}, uint64_t n = 1);

    // Sets a gauge. Preconditions: as for count.
    void set(std::string_view name, const MetricLabels& labels, double value);

    // Adds a sample to a summary (quantiles 0.5, 0.95, 0.99). Preconditions: as for count.
    void observe(std::string_view name, const MetricLabels& labels, double value);

    // Everything, a line each. Preconditions: none.
    std::string text() const;

private:
    using Summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    std::map<std::string, uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, Summary> m_summaries;
};

}  // namespace onyx
