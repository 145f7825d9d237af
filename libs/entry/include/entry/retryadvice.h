#pragma once

#include "base/random.h"
#include "base/time.h"

#include <optional>

/// \file
/// Computes the Retry-After time of refused requests.

namespace sassafrasvane
{

/// Why a request was refused, as far as it affects when a retry may succeed.
struct RefusalCause {
    /// How long requests of this kind could not have been served. 0 if only this request was shed.
    Duration outage{0};
    /// How long the caller waits for an answer, if known.
    std::optional<Duration> callerTimeout{};
    /// How long the limits and pauses that searchers ask for keep this VM from serving the request; 0 if none does.
    Duration askedToWaitFor{0};
};

/// Longest time for which callers are told to wait for searchers that ask for a limit or a pause, before jitter.
constexpr Duration maxLimitedRetryAfter() noexcept
{
    return std::chrono::seconds(10);
}

/// Limits of the time that retryAfter() returns, before jitter. They do not hold for barred requests, whose callers are
/// told to wait for CrashBar::entryLifetime().
constexpr Duration minRetryAfter() noexcept
{
    return std::chrono::milliseconds(200);
}
constexpr Duration maxRetryAfter() noexcept
{
    return std::chrono::seconds(1);
}

/// Returns the time after which a refused caller should retry.
///
/// The end of an outage is unknown. An outage is expected to last about as long again as it has lasted so far, so the
/// time grows with the outage: a caller that retries too early is refused twice. The time is short enough that the
/// caller still has time for an answer. Random jitter of up to a quarter keeps callers from retrying all at once.
///
/// When the limits and pauses that searchers ask for leave room again is known, but at first the room is for few
/// callers. They are told to come back at any time from then on until as long again.
Duration retryAfter(const RefusalCause &cause, Random &random);

} // namespace sassafrasvane
