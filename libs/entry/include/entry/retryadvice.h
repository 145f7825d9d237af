#pragma once

#include "base/random.h"
#include "base/time.h"

#include <optional>

/// \file
/// When a caller that was refused should come back.

namespace sassafrasvane
{

/// Why a request was refused, as far as it tells when the next attempt may succeed.
struct RefusalCause {
    /// How long requests like this one could not have been served; 0 if only this one found no room.
    Duration outage{0};
    /// How long the caller goes on waiting, if it says so.
    std::optional<Duration> callerTimeout;
};

/// Shortest and longest time that callers are told to wait.
constexpr Duration minRetryAfter() noexcept
{
    return std::chrono::milliseconds(200);
}
constexpr Duration maxRetryAfter() noexcept
{
    return std::chrono::seconds(1);
}

/// The time after which a refused caller should come back.
///
/// Nobody knows when an outage ends. One that has lasted for some time is expected to last about as long again, so
/// callers wait longer the longer it has lasted: those that return too early are refused twice. Callers return while
/// they still have time for an answer, and spread over a quarter of the wait, so that they do not all return at once.
Duration retryAfter(const RefusalCause &cause, Random &random);

} // namespace sassafrasvane
