#include "entry/latencymetric.h"

#include "observe/metricwriter.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cstdint>
#include <tuple>
#include <vector>

namespace sassafrasvane
{

namespace
{

constexpr const char *overflowName = "other";

/// Upper bounds of the buckets in seconds; the last bucket is unbounded.
constexpr std::array<double, 13>
    bucketBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

} // namespace

struct LatencyMetric::Series {
    using Axis = boost::histogram::axis::variable<double>;

    // The first edge is the smallest possible latency.
    static Axis axis()
    {
        std::vector<double> edges{0};
        edges.insert(edges.end(), bucketBounds.begin(), bucketBounds.end());
        return Axis(edges);
    }

    void append(MetricWriter &writer, std::vector<MetricLabel> labels) const
    {
        const std::string common = labelText(labels);
        labels.push_back({"le", {}});
        std::uint64_t count = 0;
        for (std::size_t bucket = 0; bucket <= bucketBounds.size(); ++bucket) {
            count += buckets.at(static_cast<int>(bucket));
            labels.back().value = bucket < bucketBounds.size() ? metricNumberText(bucketBounds.at(bucket)) : "+Inf";
            writer.line(labelText(labels), count, "_bucket");
        }
        writer.line(common, sumSeconds, "_sum");
        writer.line(common, count, "_count");
    }

    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> buckets{axis()};
    double sumSeconds = 0;
};

LatencyMetric::LatencyMetric(std::string metric, std::string label)
    : metric_("sassafrasvane_" + std::move(metric)), label_(std::move(label))
{
}

LatencyMetric::~LatencyMetric() = default;

void LatencyMetric::add(std::string_view name, std::string_view outcome, Duration latency)
{
    auto known = series_.find(name);
    if (known == series_.end()) {
        const std::string_view seriesName = series_.size() < maxNames() ? name : overflowName;
        known = series_.try_emplace(std::string(seriesName)).first;
    }
    auto series = known->second.find(outcome);
    if (series == known->second.end()) {
        series = known->second.emplace(std::string(outcome), std::make_unique<Series>()).first;
    }
    const double seconds = toMilliseconds(latency) / 1'000;
    series->second->buckets(seconds);
    series->second->sumSeconds += seconds;
}

void LatencyMetric::appendText(std::string &text) const
{
    MetricWriter writer(text, metric_, {}, "histogram");
    for (const auto &[name, outcomes] : series_) {
        for (const auto &[outcome, series] : outcomes) {
            series->append(writer, {{label_, name}, {"end", outcome}});
        }
    }
}

} // namespace sassafrasvane
