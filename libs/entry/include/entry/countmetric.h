#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// \file
/// Counts by name and outcome for the metrics of an entry process.

namespace sassafrasvane
{

/// Counts by name and outcome, written in the Prometheus text format.
///
/// The number of series is bounded: names beyond the first maxNames() are counted under "other". Outcomes must come
/// from a fixed set.
///
/// \code
/// CountMetric requests("tenant_requests_total", "tenant");
/// requests.add("velodromes", "answered");
/// requests.appendText(text);
/// \endcode
class CountMetric
{
public:
    /// Maximum number of names with series of their own. The largest deployment has 88 tenants.
    static constexpr std::size_t maxNames() noexcept { return 100; }

    /// \param metric name of the metric without the common prefix "sassafrasvane_".
    /// \param label name of the label that holds the names, for example "tenant".
    CountMetric(std::string metric, std::string label);

    /// Counts one event. \param outcome a stable lower-case name; the value of the label "end".
    void add(std::string_view name, std::string_view outcome);

    /// True if \p name has series of its own.
    bool hasName(std::string_view name) const { return counts_.contains(name); }

    /// Appends all series to \p text.
    void appendText(std::string &text) const;

private:
    using Outcomes = std::map<std::string, std::uint64_t, std::less<>>;

    std::string metric_;
    std::string label_;
    std::map<std::string, Outcomes, std::less<>> counts_;
};

} // namespace sassafrasvane
