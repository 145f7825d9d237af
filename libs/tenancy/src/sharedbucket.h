#pragma once

#include "base/time.h"

/// \file
/// One VM's view of a token bucket that several VMs share.

namespace sassafrasvane::detail
{

/// A token bucket of which this side of a partition may use a part.
///
/// The tokens that the part withholds are kept as the reserve of the VMs that are not heard. What they have admitted
/// meanwhile is taken from the reserve first when they are heard again, as otherwise it would be paid for twice.
class SharedBucket
{
public:
    /// The bucket starts empty.
    explicit SharedBucket(TimePoint now) noexcept : refilledAt_(now) { }

    /// Sets rate and capacity of the whole bucket, and caps it at once.
    void setQuota(TimePoint now, double rate, double capacity) noexcept;

    /// Sets the part of this side and that of the VMs that are not heard.
    void setPart(TimePoint now, double part, double partOfOthers) noexcept;

    void refill(TimePoint now) noexcept;

    /// Takes \p tokens; the bucket may become overdrawn by its capacity.
    void take(double tokens) noexcept;

    /// Takes what a VM has admitted that was not heard, from the reserve first.
    void takeFromReserve(double tokens) noexcept;

    void giveBack(double tokens) noexcept;

    /// Raises the level to that of another VM's view.
    void raiseTo(double level) noexcept;

    /// Lowers the level to that of another VM's view.
    void lowerTo(double level) noexcept { level_ = level < level_ ? level : level_; }

    /// Time until the bucket holds one token; \p longest if that takes longer.
    Duration timeToToken(Duration longest) const noexcept;

    double level() const noexcept { return level_; }
    double capacity() const noexcept { return capacity_; }
    /// Tokens that this side may hold.
    double limit() const noexcept;

private:
    double rate_ = 0;
    double capacity_ = 0;
    double part_ = 0;
    double partOfOthers_ = 0;
    double level_ = 0;
    double reserve_ = 0;
    TimePoint refilledAt_;
    TimePoint completeSince_;
};

} // namespace sassafrasvane::detail
