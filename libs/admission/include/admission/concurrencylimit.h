#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

/// \file
/// A limit of concurrent calls that follows what the calls saw.

namespace sassafrasvane
{

/// Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the increase and decrease algorithms for
/// congestion avoidance in computer networks", 1989), driven by latency against its own floor, refusals and failures.
///
/// \code
/// ConcurrencyLimit limit;
/// limit.onAnswered(now, mean, floor, running);
/// const std::uint32_t allowed = limit.within(share);
/// \endcode
class ConcurrencyLimit
{
public:
    ConcurrencyLimit() noexcept = default;

    /// \param initial the limit to begin with; it doubles each round trip until the first decrease.
    explicit ConcurrencyLimit(std::uint32_t initial) noexcept : limit_(initial), isSlowStart_(true) { }

    /// Takes an answer. \param mean the present latency. \param floor its least value lately; 0 if unknown.
    /// \param running calls that ran, this one included: a limit that is not used does not rise.
    /// \param mayRise false if the server says that it is full.
    void onAnswered(TimePoint now, Duration mean, Duration floor, std::size_t running, bool mayRise) noexcept;

    /// Takes an answer that shows that the server queues; onAnswered() calls it by itself.
    void onQueueing(TimePoint now, Duration mean, std::size_t running) noexcept;

    /// Takes an answer that by itself, not by the average, shows that more ran than fits.
    void onOverload(TimePoint now, Duration latency, std::size_t running) noexcept;

    /// Takes a refusal by the server. \param mean the present latency. \param running as for onAnswered().
    void onRefused(TimePoint now, Duration mean, std::size_t running) noexcept;

    /// Takes a failure of a call. \param mean the present latency. \param running as for onAnswered().
    void onFailed(TimePoint now, Duration mean, std::size_t running) noexcept;

    /// The limit, at least 1 and at most \p share; 0 if \p share is 0.
    std::uint32_t within(std::uint32_t share) const noexcept;

    /// No call is sent before this time, because the server refused several in a row.
    TimePoint pausedUntil() const noexcept { return pausedUntil_; }

private:
    void decrease(TimePoint now, Duration pause, std::size_t running, double factor) noexcept;

    /// Above any published number of slots until the first decrease: the share is the bound then.
    double limit_ = 1 << 20;
    bool isSlowStart_ = false;
    TimePoint lastDecrease_;
    TimePoint pausedUntil_;
    std::uint32_t refusalsInRow_ = 0;
};

} // namespace sassafrasvane
