#include "entry/retryadvice.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Share of the caller's time after which it should be back: callers wait no longer than a third of it.
constexpr double callerTimeoutShare = 0.26;
/// Random part of the wait.
constexpr double jitterShare = 0.25;

} // namespace

Duration retryAfter(const RefusalCause &cause, Random &random)
{
    Duration wait = std::clamp(cause.outage, minRetryAfter(), maxRetryAfter());
    if (cause.callerTimeout) {
        wait = std::min(wait, std::max(minRetryAfter(), shareOf(*cause.callerTimeout, callerTimeoutShare)));
    }
    return wait + shareOf(wait, jitterShare * random.unit());
}

} // namespace sassafrasvane
