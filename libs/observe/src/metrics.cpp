#include "observe/metrics.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

constexpr double millisecondsPerSecond = 1'000;

void writeLatency(std::string &text, const std::vector<ClassSummary> &classes)
{
    MetricWriter writer(text, "sassafrasvane_answer_latency_seconds", "Time from request to answer", "summary");
    for (const ClassSummary &cls : classes) {
        writer.line(labelText({{"class", cls.name}, {"quantile", "0.5"}}), cls.p50Ms / millisecondsPerSecond);
        writer.line(labelText({{"class", cls.name}, {"quantile", "0.99"}}), cls.p99Ms / millisecondsPerSecond);
        writer.line(labelText({{"class", cls.name}, {"quantile", "0.999"}}), cls.p999Ms / millisecondsPerSecond);
        writer.line(labelText({{"class", cls.name}}), cls.latencySumMs / millisecondsPerSecond, "_sum");
        writer.line(labelText({{"class", cls.name}}), static_cast<double>(cls.answers), "_count");
    }
}

void writeCoverage(std::string &text, const std::vector<ClassSummary> &classes)
{
    MetricWriter writer(text, "sassafrasvane_answer_coverage", "Coverage of answers in the last window", "gauge");
    for (const ClassSummary &cls : classes) {
        writer.line(labelText({{"class", cls.name}, {"stat", "mean"}}), cls.coverageMean);
        writer.line(labelText({{"class", cls.name}, {"stat", "p1"}}), cls.coverageP1);
        writer.line(labelText({{"class", cls.name}, {"stat", "least"}}), cls.coverageLeast);
    }
}

void writeLoad(std::string &text, const std::vector<ClassSummary> &classes)
{
    MetricWriter extra(text, "sassafrasvane_extra_load_ratio", "Additional backend requests per needed one", "gauge");
    for (const ClassSummary &cls : classes) {
        extra.line(labelText({{"class", cls.name}}), cls.extraLoad);
    }
    MetricWriter sent(text, "sassafrasvane_backend_requests_total", "Backend requests sent", "counter");
    for (const ClassSummary &cls : classes) {
        sent.line(labelText({{"class", cls.name}}), static_cast<double>(cls.sentCalls));
    }
    MetricWriter needed(text, "sassafrasvane_backend_requests_needed_total", "Backend requests needed", "counter");
    for (const ClassSummary &cls : classes) {
        needed.line(labelText({{"class", cls.name}}), static_cast<double>(cls.neededCalls));
    }
}

void writeRefusals(std::string &text, const std::vector<ClassSummary> &classes)
{
    MetricWriter writer(text, "sassafrasvane_refusals_total", "Requests refused, by reason", "counter");
    for (const ClassSummary &cls : classes) {
        for (const RefusalCount &refusal : cls.refusals) {
            writer.line(labelText({{"class", cls.name}, {"reason", name(refusal.reason)}}),
                        static_cast<double>(refusal.count));
        }
    }
}

template<typename FamilyMap>
void writeFamilies(std::string &text, const FamilyMap &families, const char *type)
{
    for (const auto &[familyName, family] : families) {
        MetricWriter writer(text, familyName, family.help, type);
        for (const auto &[labels, value] : family.series) {
            writer.line(labels, static_cast<double>(value->value()));
        }
    }
}

} // namespace

Metrics::Metrics() : otherClasses_("other")
{
}

ClassMetrics &Metrics::classMetrics(std::string_view name)
{
    const std::lock_guard lock(mutex_);
    const auto found = classes_.find(name);
    if (found != classes_.end()) {
        return *found->second;
    }
    if (classes_.size() >= maxClasses) {
        refusedSeries_.add();
        return otherClasses_;
    }
    std::unique_ptr<ClassMetrics> metrics = std::make_unique<ClassMetrics>(std::string(name));
    return *classes_.emplace(name, std::move(metrics)).first->second;
}

template<typename Kind>
Kind &Metrics::series(Families<Kind> &families,
                      Kind &overflow,
                      std::string_view name,
                      std::string_view help,
                      const std::vector<MetricLabel> &labels)
{
    const std::string key = labelText(labels);
    const std::lock_guard lock(mutex_);
    const auto family = families.find(name);
    if (family != families.end()) {
        const auto known = family->second.series.find(key);
        if (known != family->second.series.end()) {
            return *known->second;
        }
    }
    if (seriesCount_ >= maxSeries) {
        refusedSeries_.add();
        return overflow;
    }
    ++seriesCount_;
    Family<Kind> &target = family != families.end() ? family->second : families[std::string(name)];
    target.help = help;
    return *target.series.emplace(key, std::make_unique<Kind>()).first->second;
}

Counter &Metrics::counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels)
{
    return series(counters_, overflowCounter_, name, help, labels);
}

Gauge &Metrics::gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels)
{
    return series(gauges_, overflowGauge_, name, help, labels);
}

std::vector<ClassSummary> Metrics::classSummaries(TimePoint now) const
{
    std::vector<ClassSummary> summaries;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, metrics] : classes_) {
        summaries.push_back(metrics->summary(now));
    }
    if (classes_.size() >= maxClasses) {
        summaries.push_back(otherClasses_.summary(now));
    }
    return summaries;
}

std::string Metrics::prometheusText(TimePoint now) const
{
    const std::vector<ClassSummary> classes = classSummaries(now);
    std::string text;
    writeLatency(text, classes);
    writeCoverage(text, classes);
    writeLoad(text, classes);
    writeRefusals(text, classes);
    const std::lock_guard lock(mutex_);
    writeFamilies(text, counters_, "counter");
    writeFamilies(text, gauges_, "gauge");
    MetricWriter refused(text, "sassafrasvane_series_over_bound_total", "Uses of series over the bound", "counter");
    refused.line({}, static_cast<double>(refusedSeries_.value()));
    return text;
}

} // namespace sassafrasvane
