#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// Histograms of latencies for the metrics of an entry process.

namespace sassafrasvane
{

/// Latencies by name and by how the work ended, in the histogram form of the Prometheus text format.
///
/// The number of series is bounded: names beyond the first mostNames() count as "other".
///
/// \code
/// LatencyMetric requests("request_seconds", "route");
/// requests.add("lookup", "answered", elapsed);
/// requests.appendText(text);
/// \endcode
class LatencyMetric
{
public:
    /// Names that have series of their own.
    static constexpr std::size_t mostNames() noexcept { return 64; }

    /// \param metric name of the metric without the common prefix. \param label what the names stand for.
    LatencyMetric(std::string metric, std::string label);
    ~LatencyMetric();

    /// Notes one latency. \param end a stable lower-case name.
    void add(std::string_view name, std::string_view end, Duration latency);

    /// Appends all series to \p text.
    void appendText(std::string &text) const;

private:
    struct Series;

    std::string metric_;
    std::string label_;
    /// By name, then by end.
    std::map<std::string, std::map<std::string, std::unique_ptr<Series>, std::less<>>, std::less<>> series_;
};

} // namespace sassafrasvane
