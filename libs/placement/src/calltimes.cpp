#include "placement/calltimes.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Quantile of the call durations that is used as the hedge delay.
constexpr double hedgeQuantile = 0.93;
/// Number of recorded calls from which on the measured quantile is used.
constexpr std::uint64_t minCalls = 30;
/// Bounds of the hedge delay, as shares of the latency target. The maximum leaves the hedge time to answer.
constexpr double minDelayShare = 0.1;
constexpr double maxDelayShare = 0.4;
/// Initial typical duration, as a share of the latency target.
constexpr double initialTypicalShare = 0.15;
/// Weight of a new call in the moving average of the typical duration.
constexpr double newCallWeight = 0.05;
/// Durations are capped at this multiple of the typical duration, so that a few stragglers do not shift the average.
constexpr int maxTypicalMultiple = 4;

} // namespace

CallTimes::CallTimes(Duration latencyTarget) noexcept
    : latencyTarget_(latencyTarget), typicalDuration_(shareOf(latencyTarget, initialTypicalShare))
{
}

void CallTimes::add(Duration elapsed) noexcept
{
    histogram_.add(elapsed);
    const Duration bounded = std::min(elapsed, typicalDuration_ * maxTypicalMultiple);
    typicalDuration_ += shareOf(bounded - typicalDuration_, newCallWeight);
}

Duration CallTimes::hedgeDelay() const noexcept
{
    const Duration minDelay = shareOf(latencyTarget_, minDelayShare);
    const Duration maxDelay = shareOf(latencyTarget_, maxDelayShare);
    if (histogram_.count() < minCalls) {
        return maxDelay;
    }
    return std::clamp(histogram_.quantile(hedgeQuantile), minDelay, maxDelay);
}

} // namespace sassafrasvane
