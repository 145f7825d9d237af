#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Writes metrics in the Prometheus text format.

namespace sassafrasvane
{

/// A label of a series.
struct MetricLabel {
    std::string name;
    std::string value;
};

/// The text of \p labels behind a metric's name; empty if there are none.
std::string labelText(const std::vector<MetricLabel> &labels);

/// The shortest text that stands for \p number.
std::string metricNumberText(double number);

/// Writes the lines of one metric.
///
/// \code
/// MetricWriter writer(text, "requests_total", "Requests", "counter");
/// writer.line(labelText(labels), count);
/// \endcode
class MetricWriter
{
public:
    /// Writes the metric's header to \p text. \param help one sentence for people; none is written if it is empty.
    MetricWriter(std::string &text, std::string_view name, std::string_view help, std::string_view type);

    /// Writes one series. \param labels as labelText() gives them.
    void line(std::string_view labels, double value, std::string_view suffix = {});
    void line(std::string_view labels, std::uint64_t value, std::string_view suffix = {});

private:
    void line(std::string_view labels, std::string_view value, std::string_view suffix);

    std::string &text_;
    std::string name_;
};

} // namespace sassafrasvane
