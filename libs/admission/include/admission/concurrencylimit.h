#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

/// \file
/// A limit of concurrent calls that adapts to the outcomes of the calls.

namespace sassafrasvane
{

/// Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the increase and decrease algorithms for
/// congestion avoidance in computer networks", 1989). The inputs are refusals, failures and the ratio of the latency to
/// its recent minimum.
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

    /// \param initial the initial limit; it doubles each round trip until the first decrease.
    explicit ConcurrencyLimit(std::uint32_t initial) noexcept : limit_(initial), isSlowStart_(true) { }

    /// Handles an answer. \param mean the current average latency. \param floor its recent minimum; 0 if unknown.
    /// \param running number of calls in flight, this one included: a limit that is not used up does not rise.
    /// \param mayRise false if the server reports that it is full.
    void onAnswered(TimePoint now, Duration mean, Duration floor, std::size_t running, bool mayRise) noexcept;

    /// Handles an answer whose average latency shows that the server queues; onAnswered() calls this itself.
    void onQueueing(TimePoint now, Duration mean, std::size_t running) noexcept;

    /// Handles an answer that alone, without the average, shows that too many calls were in flight.
    /// \param latency the latency of that call; the limit falls at most once in this time.
    void onOverload(TimePoint now, Duration latency, std::size_t running) noexcept;

    /// Handles a refusal by the server. \param mean the current average latency. \param running as for onAnswered().
    void onRefused(TimePoint now, Duration mean, std::size_t running) noexcept;

    /// Handles a failed call. \param mean the current average latency. \param running as for onAnswered().
    void onFailed(TimePoint now, Duration mean, std::size_t running) noexcept;

    /// The limit, at least 1 and at most \p share; 0 if \p share is 0.
    std::uint32_t within(std::uint32_t share) const noexcept;

    /// No call may be sent before this time, because the server refused several in a row.
    TimePoint pausedUntil() const noexcept { return pausedUntil_; }

private:
    void decrease(TimePoint now, Duration pause, std::size_t running, double factor) noexcept;

    /// Starts above any published number of slots, so that the share is the limit until the first decrease.
    double limit_ = 1 << 20;
    bool isSlowStart_ = false;
    TimePoint lastDecrease_;
    TimePoint pausedUntil_;
    std::uint32_t refusalsInRow_ = 0;
};

} // namespace sassafrasvane
