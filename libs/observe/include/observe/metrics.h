#pragma once

#include "base/error.h"
#include "base/time.h"
#include "observe/metricwriter.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Metrics of the daemon in the Prometheus text format.

namespace sassafrasvane
{

/// What one answer adds to its class's metrics.
struct AnswerSample {
    /// From the request's arrival to its answer.
    Duration latency{0};
    /// Coverage of the answer, in [0, 1].
    double coverage = 1;
    /// Backend requests sent for it.
    std::uint64_t sentCalls = 0;
    /// Backend requests that it needed without hedges and retries.
    std::uint64_t neededCalls = 0;
};

/// Refusals for one reason.
struct RefusalCount {
    Errc reason = Errc::Overloaded;
    std::uint64_t count = 0;
};

/// The measures of a class over the last window, the counts since the start.
struct ClassSummary {
    std::string name;
    /// Answers in the window; the measures below are 0 if there were none.
    std::uint64_t windowAnswers = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double meanMs = 0;
    double coverageMean = 0;
    /// Coverage that 99 in 100 answers reach.
    double coverageP1 = 0;
    double coverageLeast = 0;
    /// Additional backend requests as a fraction of the needed ones.
    double extraLoad = 0;
    /// Answers since the start.
    std::uint64_t answers = 0;
    /// Sum of their latencies.
    double latencySumMs = 0;
    std::uint64_t sentCalls = 0;
    std::uint64_t neededCalls = 0;
    /// Reasons that occurred.
    std::vector<RefusalCount> refusals;
};

/// The metrics of one class of work. May be used by any thread.
class ClassMetrics
{
public:
    explicit ClassMetrics(std::string name);
    ~ClassMetrics();

    /// Adds an answer.
    void recordAnswer(TimePoint now, const AnswerSample &sample);

    /// Adds a refusal.
    void recordRefusal(Errc reason) noexcept;

    /// The measures of the last complete window, or of the running one if there is none yet.
    ClassSummary summary(TimePoint now) const;

private:
    struct Window;
    static constexpr std::size_t reasonCount = static_cast<std::size_t>(Errc::Internal) + 1;

    void rotate(TimePoint now) const;

    const std::string name_;
    std::array<std::atomic<std::uint64_t>, reasonCount> refusals_{};
    mutable std::mutex mutex_;
    mutable std::unique_ptr<Window> running_;
    /// The last complete window; null if there is none or it is too old.
    mutable std::unique_ptr<Window> complete_;
    std::uint64_t answers_ = 0;
    double latencySumMs_ = 0;
    std::uint64_t sentCalls_ = 0;
    std::uint64_t neededCalls_ = 0;
};

/// A number that only rises.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A number that rises and falls.
class Gauge
{
public:
    void set(double value) noexcept { value_.store(value, std::memory_order_relaxed); }
    double value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// All metrics of a daemon.
///
/// Classes, counters and gauges are made at their first use and live as long as the registry; keep the reference where
/// they are used often. The number of series is bounded: what comes after the bound goes into one common series.
///
/// \code
/// Metrics metrics;
/// Counter &accepted = metrics.counter("sassafrasvane_connections_total", "Connections accepted");
/// accepted.add();
/// metrics.classMetrics("lookup").recordAnswer(now, sample);
/// response.set_content(metrics.prometheusText(now), Metrics::contentType);
/// \endcode
class Metrics
{
public:
    static constexpr const char *contentType = "text/plain; version=0.0.4";
    /// Classes with metrics of their own.
    static constexpr std::size_t maxClasses = 256;
    /// Counters and gauges, each label set counted.
    static constexpr std::size_t maxSeries = 4'096;

    Metrics();

    /// The metrics of class \p name.
    ClassMetrics &classMetrics(std::string_view name);

    /// The counter \p name with \p labels. \param help one sentence for people.
    Counter &counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels = {});

    /// The gauge \p name with \p labels. \param help one sentence for people.
    Gauge &gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels = {});

    /// The summaries of all classes, by name.
    std::vector<ClassSummary> classSummaries(TimePoint now) const;

    /// All series in the Prometheus text format.
    std::string prometheusText(TimePoint now) const;

private:
    template<typename Kind>
    struct Family {
        std::string help;
        /// By the label set in the text format.
        std::map<std::string, std::unique_ptr<Kind>> series;
    };
    template<typename Kind>
    using Families = std::map<std::string, Family<Kind>, std::less<>>;

    template<typename Kind>
    Kind &series(Families<Kind> &families,
                 Kind &overflow,
                 std::string_view name,
                 std::string_view help,
                 const std::vector<MetricLabel> &labels);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<ClassMetrics>, std::less<>> classes_;
    ClassMetrics otherClasses_;
    Families<Counter> counters_;
    Families<Gauge> gauges_;
    std::size_t seriesCount_ = 0;
    Counter overflowCounter_;
    Gauge overflowGauge_;
    Counter refusedSeries_;
};

} // namespace sassafrasvane
