#include "placement/calltimes.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Share of the calls that are answered before the hedge delay.
constexpr double hedgeQuantile = 0.93;
/// Calls after which the measured quantile is used.
constexpr std::uint64_t minCalls = 30;
/// Bounds of the hedge delay, as shares of the latency target: a hedge must be able to answer in time.
constexpr double minDelayShare = 0.1;
constexpr double maxDelayShare = 0.4;
/// Usual time of a call, as a share of the latency target, until one was measured.
constexpr double initialTypicalShare = 0.15;
/// Weight of a new call in the usual time.
constexpr double newCallWeight = 0.05;
/// A call counts as at most this many usual ones, so that a few stragglers do not shift the usual time.
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
