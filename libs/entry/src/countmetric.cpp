#include "entry/countmetric.h"

#include "observe/metricwriter.h"

namespace sassafrasvane
{

namespace
{

constexpr const char *overflowName = "other";

} // namespace

CountMetric::CountMetric(std::string metric, std::string label)
    : metric_("sassafrasvane_" + std::move(metric)), label_(std::move(label))
{
}

void CountMetric::add(std::string_view name, std::string_view outcome)
{
    auto known = counts_.find(name);
    if (known == counts_.end()) {
        known = counts_.try_emplace(std::string(counts_.size() < maxNames() ? name : overflowName)).first;
    }
    const auto count = known->second.find(outcome);
    if (count == known->second.end()) {
        known->second.emplace(outcome, 1);
    } else {
        ++count->second;
    }
}

void CountMetric::appendText(std::string &text) const
{
    if (counts_.empty()) {
        return;
    }
    MetricWriter writer(text, metric_, {}, "counter");
    for (const auto &[name, outcomes] : counts_) {
        for (const auto &[outcome, count] : outcomes) {
            writer.line(labelText({{label_, name}, {"end", outcome}}), count);
        }
    }
}

} // namespace sassafrasvane
