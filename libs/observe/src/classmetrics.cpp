#include "observe/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail.hpp>

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

namespace acc = boost::accumulators;

/// Length of a window.
constexpr Duration windowLength = std::chrono::seconds(30);
/// Samples kept of a distribution's tail: 1 % of the most samples that a window holds.
constexpr std::size_t tailSamples = 512;
/// Samples at which a window ends early, so that its 99th percentile stays exact.
constexpr std::size_t maxWindowSamples = tailSamples * 100;

using Latencies = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::p_square_quantile, acc::tag::tail<acc::right>>>;
using Coverages = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::tail<acc::left>>>;

/// The sample at rank \p rank, from 1 on, of the tail; its last sample if the rank is beyond it.
template<typename Set>
double tailSample(const Set &set, std::size_t rank)
{
    const auto tail = acc::tail(set);
    const std::size_t index = std::clamp<std::size_t>(rank, 1, static_cast<std::size_t>(tail.size())) - 1;
    return *(tail.begin() + static_cast<std::ptrdiff_t>(index));
}

/// Nearest-rank quantile, counted from the upper end.
double upperQuantile(const Latencies &latencies, double probability)
{
    const std::size_t count = acc::count(latencies);
    const std::size_t below = static_cast<std::size_t>(std::ceil(static_cast<double>(count) * probability));
    return tailSample(latencies, count - std::max<std::size_t>(below, 1) + 1);
}

double median(const Latencies &latencies)
{
    // The tail holds all samples of a small window; the P-square estimate needs more than a few of them.
    const bool isTailComplete = acc::count(latencies) <= tailSamples;
    return isTailComplete ? upperQuantile(latencies, 0.5) : acc::p_square_quantile(latencies);
}

double lowerQuantile(const Coverages &coverages, double probability)
{
    const double count = static_cast<double>(acc::count(coverages));
    return tailSample(coverages, static_cast<std::size_t>(std::ceil(count * probability)));
}

} // namespace

/// The samples of one window.
struct ClassMetrics::Window {
    explicit Window(TimePoint now) : startedAt(now) { }

    std::size_t size() const { return acc::count(latencies); }

    TimePoint startedAt;
    Latencies latencies{acc::quantile_probability = 0.5, acc::tag::tail<acc::right>::cache_size = tailSamples};
    Coverages coverages{acc::tag::tail<acc::left>::cache_size = tailSamples};
    std::uint64_t sentCalls = 0;
    std::uint64_t neededCalls = 0;
};

ClassMetrics::ClassMetrics(std::string name) : name_(std::move(name))
{
}

ClassMetrics::~ClassMetrics() = default;

void ClassMetrics::recordAnswer(TimePoint now, const AnswerSample &sample)
{
    const std::lock_guard lock(mutex_);
    rotate(now);
    const double latencyMs = toMilliseconds(sample.latency);
    running_->latencies(latencyMs);
    running_->coverages(sample.coverage);
    running_->sentCalls += sample.sentCalls;
    running_->neededCalls += sample.neededCalls;
    ++answers_;
    latencySumMs_ += latencyMs;
    sentCalls_ += sample.sentCalls;
    neededCalls_ += sample.neededCalls;
}

void ClassMetrics::recordRefusal(Errc reason) noexcept
{
    const std::size_t index = std::min(static_cast<std::size_t>(reason), reasonCount - 1);
    refusals_[index].fetch_add(1, std::memory_order_relaxed);
}

void ClassMetrics::rotate(TimePoint now) const
{
    if (running_ == nullptr) {
        running_ = std::make_unique<Window>(now);
        return;
    }
    const Duration age = now - running_->startedAt;
    if (age < windowLength && running_->size() < maxWindowSamples) {
        return;
    }
    // A window without samples, or one that ended long ago, says nothing about the present.
    const bool isUsable = running_->size() > 0 && age < 2 * windowLength;
    complete_ = isUsable ? std::move(running_) : nullptr;
    running_ = std::make_unique<Window>(now);
}

ClassSummary ClassMetrics::summary(TimePoint now) const
{
    ClassSummary summary;
    summary.name = name_;
    for (std::size_t i = 1; i < reasonCount; ++i) {
        const std::uint64_t count = refusals_[i].load(std::memory_order_relaxed);
        if (count > 0) {
            summary.refusals.push_back({static_cast<Errc>(i), count});
        }
    }
    const std::lock_guard lock(mutex_);
    rotate(now);
    summary.answers = answers_;
    summary.latencySumMs = latencySumMs_;
    summary.sentCalls = sentCalls_;
    summary.neededCalls = neededCalls_;
    const Window &window = complete_ != nullptr ? *complete_ : *running_;
    summary.windowAnswers = window.size();
    if (window.size() == 0) {
        return summary;
    }
    summary.p50Ms = median(window.latencies);
    summary.p99Ms = upperQuantile(window.latencies, 0.99);
    summary.p999Ms = upperQuantile(window.latencies, 0.999);
    summary.meanMs = acc::mean(window.latencies);
    summary.coverageMean = acc::mean(window.coverages);
    summary.coverageP1 = lowerQuantile(window.coverages, 0.01);
    summary.coverageLeast = tailSample(window.coverages, 1);
    if (window.neededCalls > 0) {
        summary.extraLoad = static_cast<double>(window.sentCalls) / static_cast<double>(window.neededCalls) - 1;
    }
    return summary;
}

} // namespace sassafrasvane
