#include "admission/concurrencylimit.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Ratio of the average latency to its floor above which the server is assumed to queue.
constexpr double queueingFactor = 2;
/// Number of answers that the average latency covers.
constexpr std::size_t averagedAnswers = 64;
constexpr double queueingDecrease = 0.9;
constexpr double refusalDecrease = 0.7;
constexpr double failureDecrease = 0.5;
/// Refusals in a row after which the gate pauses.
constexpr std::uint32_t refusalsToPause = 3;
constexpr Duration firstPause = 10ms;
constexpr Duration maxPause = 1s;
/// Keeps the shift within its type; 10 ms doubled seven times already exceeds maxPause.
constexpr std::uint32_t maxDoublings = 16;

} // namespace

void ConcurrencyLimit::onAnswered(TimePoint now,
                                  Duration mean,
                                  Duration floor,
                                  std::size_t running,
                                  bool mayRise) noexcept
{
    refusalsInRow_ = 0;
    const bool hasFloor = floor > Duration{0};
    if (hasFloor && static_cast<double>(mean.count()) > queueingFactor * static_cast<double>(floor.count())) {
        onQueueing(now, mean, running);
        return;
    }
    if (mayRise && static_cast<double>(running) + 1 > limit_) {
        limit_ += isSlowStart_ ? 1 : 1 / limit_;
    }
}

void ConcurrencyLimit::onQueueing(TimePoint now, Duration mean, std::size_t running) noexcept
{
    // The average shows the effect of a decrease only after averagedAnswers further answers.
    const std::size_t roundTrips = 1 + averagedAnswers / std::max<std::size_t>(running, 1);
    decrease(now, mean * roundTrips, running, queueingDecrease);
}

void ConcurrencyLimit::onOverload(TimePoint now, Duration latency, std::size_t running) noexcept
{
    decrease(now, latency, running, queueingDecrease);
}

void ConcurrencyLimit::onRefused(TimePoint now, Duration mean, std::size_t running) noexcept
{
    decrease(now, mean, running, refusalDecrease);
    ++refusalsInRow_;
    if (refusalsInRow_ >= refusalsToPause) {
        const std::uint32_t doublings = std::min<std::uint32_t>(refusalsInRow_ - refusalsToPause, maxDoublings);
        pausedUntil_ = now + std::min(maxPause, firstPause * (1U << doublings));
    }
}

void ConcurrencyLimit::onFailed(TimePoint now, Duration mean, std::size_t running) noexcept
{
    decrease(now, mean, running, failureDecrease);
}

std::uint32_t ConcurrencyLimit::within(std::uint32_t share) const noexcept
{
    return std::min(share, static_cast<std::uint32_t>(limit_));
}

void ConcurrencyLimit::decrease(TimePoint now, Duration pause, std::size_t running, double factor) noexcept
{
    // Calls sent before the last decrease do not show its effect yet.
    if (now - lastDecrease_ < pause) {
        return;
    }
    lastDecrease_ = now;
    isSlowStart_ = false;
    limit_ = std::max(1.0, std::min(limit_, static_cast<double>(running)) * factor);
}

} // namespace sassafrasvane
