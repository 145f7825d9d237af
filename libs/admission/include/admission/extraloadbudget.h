#pragma once

#include "admission/outcomewindow.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>

/// \file
/// The budget of hedges and retries of one class.

namespace sassafrasvane
{

/// A token bucket that is filled by needed calls only, so that extra calls never exceed the class's extra-load target.
///
/// Each daemon fills its bucket with the target times its own needed calls and starts with an empty one. So at any
/// moment, for each daemon and thus in sum over all of them, extra calls sent <= target x needed calls sent. The bucket
/// holds what a few queries earn: what was saved up in quiet times cannot be spent at once.
///
/// While many calls fail or are refused, nothing is spent: retries must not feed an outage (Brooker, "Fixing retries
/// with token buckets and circuit breakers", 2022).
///
/// \code
/// budget.onNeeded(calls);
/// if (budget.spend(now)) { ... }
/// \endcode
class ExtraLoadBudget
{
public:
    /// Share of bad calls above which the fleet is ill: more than one of four failure domains takes away.
    static constexpr double unhealthyShare() noexcept { return 0.4; }

    /// Share of bad calls below which it is well again.
    static constexpr double healthyShare() noexcept { return 0.3; }

    /// \param extraLoad the class's target, such as 0.05; below 0 counts as 0.
    explicit ExtraLoadBudget(double extraLoad) noexcept;

    /// Takes a new target. What was earned under the former one is kept, within the new bound.
    void setTarget(double extraLoad) noexcept;

    /// Notes that \p calls needed calls of one query are sent.
    void onNeeded(std::size_t calls) noexcept;

    /// Notes the end of a call, needed or extra. \param isGood false if it failed or was refused.
    void onResult(TimePoint now, bool isGood) noexcept;

    /// Takes one call. \return false if there is none or the fleet is ill.
    bool spend(TimePoint now) noexcept;

    /// Gives back a call that was taken and then provably not sent.
    void refund() noexcept;

    /// True while so many calls are bad that none may be added.
    bool isFleetUnhealthy(TimePoint now) noexcept;

    /// Whole calls that are left.
    std::uint64_t available() const noexcept;

private:
    /// In millionths of a call, so that sums are exact.
    std::uint64_t targetMillionths_ = 0;
    std::uint64_t balance_ = 0;
    std::uint64_t capacity_ = 0;
    std::uint64_t refundable_ = 0;
    OutcomeWindow outcomes_;
    bool isUnhealthy_ = false;
};

} // namespace sassafrasvane
