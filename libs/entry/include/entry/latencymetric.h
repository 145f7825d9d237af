#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// Latency histograms for the metrics of an entry process.

namespace sassafrasvane
{

/// Latency histograms by name and outcome, written in the Prometheus text format.
///
/// The number of series is bounded: names beyond the first maxNames() are counted under "other".
///
/// \code
/// LatencyMetric requests("request_seconds", "route");
/// requests.add("lookup", "answered", elapsed);
/// requests.appendText(text);
/// \endcode
class LatencyMetric
{
public:
    /// Maximum number of names with series of their own.
    static constexpr std::size_t maxNames() noexcept { return 64; }

    /// \param metric name of the metric without the common prefix "sassafrasvane_".
    /// \param label name of the label that holds the names, for example "route".
    LatencyMetric(std::string metric, std::string label);
    ~LatencyMetric();

    /// Records one latency. \param outcome how the work ended, as a stable lower-case name; the value of the label
    /// "end".
    void add(std::string_view name, std::string_view outcome, Duration latency);

    /// Appends all series to \p text.
    void appendText(std::string &text) const;

private:
    struct Series;

    std::string metric_;
    std::string label_;
    /// By name, then by outcome.
    std::map<std::string, std::map<std::string, std::unique_ptr<Series>, std::less<>>, std::less<>> series_;
};

} // namespace sassafrasvane
