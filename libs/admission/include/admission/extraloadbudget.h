#pragma once

#include "admission/outcomewindow.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>

/// \file
/// The budget for hedges and retries of one class.

namespace sassafrasvane
{

/// A token bucket that only needed calls refill, so that extra calls never exceed the class's extra-load target.
///
/// Each daemon starts with an empty bucket and adds the target times its own needed calls. So at any time, extra calls
/// sent <= target x needed calls sent holds for each daemon and thus for their sum. The capacity is limited to the
/// tokens of a few queries, so that tokens from quiet times cannot cause a burst of extra calls.
///
/// While many calls fail or are refused, no tokens are spent, as retries must not prolong an outage (Brooker, "Fixing
/// retries with token buckets and circuit breakers", 2022).
///
/// \code
/// budget.onNeeded(calls);
/// if (budget.spend(now)) { ... }
/// \endcode
class ExtraLoadBudget
{
public:
    /// Share of failed or refused calls above which the fleet counts as unhealthy. It exceeds the share that the loss
    /// of one of four failure domains causes.
    static constexpr double unhealthyShare() noexcept { return 0.4; }

    /// Share of failed or refused calls up to which an unhealthy fleet counts as healthy again (hysteresis).
    static constexpr double healthyShare() noexcept { return 0.3; }

    /// \param extraLoad the class's target as a ratio, such as 0.05; it is clamped to [0, 1].
    explicit ExtraLoadBudget(double extraLoad) noexcept;

    /// Replaces the target. Tokens that were earned under the former target are kept, up to the new capacity.
    void setTarget(double extraLoad) noexcept;

    /// Records that \p calls needed calls of one query are sent, and adds the tokens for them.
    void onNeeded(std::size_t calls) noexcept;

    /// Records the end of a needed or extra call. \param isGood false if it failed or was refused.
    void onResult(TimePoint now, bool isGood) noexcept;

    /// Takes the token for one extra call. \return false if there is none or the fleet is unhealthy.
    bool spend(TimePoint now) noexcept;

    /// Returns the token of an extra call that was certainly not sent. Surplus refunds are ignored.
    void refund() noexcept;

    /// True while so many calls fail or are refused that no extra calls may be sent.
    bool isFleetUnhealthy(TimePoint now) noexcept;

    /// Number of extra calls that may be sent now.
    std::uint64_t available() const noexcept;

private:
    /// Token amounts are in millionths of a call, so that sums are exact.
    std::uint64_t targetMillionths_ = 0;
    std::uint64_t balance_ = 0;
    std::uint64_t capacity_ = 0;
    std::uint64_t refundable_ = 0;
    OutcomeWindow outcomes_;
    bool isUnhealthy_ = false;
};

} // namespace sassafrasvane
