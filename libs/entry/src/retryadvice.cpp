#include "entry/retryadvice.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Share of the caller's time after which it should be back: callers wait no longer than a third of it.
constexpr double latestReturnShare = 0.26;
/// Random part of the wait.
constexpr double spreadShare = 0.25;

} // namespace

Duration retryAfter(const RefusalCause &cause, Random &random)
{
    Duration wait = std::clamp(cause.outage, shortestRetryAfter(), longestRetryAfter());
    if (cause.patience) {
        wait = std::min(wait, std::max(shortestRetryAfter(), shareOf(*cause.patience, latestReturnShare)));
    }
    return wait + shareOf(wait, spreadShare * random.unit());
}

} // namespace sassafrasvane
