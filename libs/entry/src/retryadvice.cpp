#include "entry/retryadvice.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Maximum wait before jitter, as a share of the caller's timeout. With jitter, callers wait less than a third of it.
constexpr double callerTimeoutShare = 0.26;
/// Maximum jitter as a share of the wait.
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
