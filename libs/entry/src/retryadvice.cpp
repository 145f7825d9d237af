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
/// The same for callers that wait for the limits and pauses that searchers ask for.
constexpr double limitedJitterShare = 1;

} // namespace

Duration retryAfter(const RefusalCause &cause, Random &random)
{
    const Duration askedToWaitFor = std::min(cause.askedToWaitFor, maxLimitedRetryAfter());
    const double jitter = askedToWaitFor > Duration{0} ? limitedJitterShare : jitterShare;
    Duration earliest = std::max(askedToWaitFor, std::clamp(cause.outage, minRetryAfter(), maxRetryAfter()));
    Duration latest = earliest + shareOf(earliest, jitter);
    if (cause.callerTimeout) {
        const Duration bound = std::max(minRetryAfter(), shareOf(*cause.callerTimeout, callerTimeoutShare));
        earliest = std::min(earliest, bound);
        latest = std::min(latest, bound + shareOf(bound, jitterShare));
    }
    return earliest + shareOf(latest - earliest, random.unit());
}

} // namespace sassafrasvane
