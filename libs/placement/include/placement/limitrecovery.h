#pragma once

#include "base/time.h"

#include <cstdint>

/// \file
/// The rate that a searcher gets after its stated limit has ended.

namespace sassafrasvane
{

/// Allowed rate of a searcher, over all VMs, after its stated limit has ended. The searcher is probably still
/// recovering, so its full load returns by degrees.
///
/// For slowTime() the rate rises from the former limit to slowFactor() times the limit, afterwards it doubles quickly,
/// and after length() there is no limit. A VM that learns later that the limit has ended also starts later, so the VMs
/// together send no more than one that has learned it at once would allow.
///
/// \code
/// recovery.start(now, formerLimit);
/// if (recovery.advance(now)) { setShare(recovery.callsPerSecond()); }
/// \endcode
class LimitRecovery
{
public:
    static constexpr Duration slowTime() noexcept { return std::chrono::seconds(4); }
    static constexpr Duration length() noexcept { return std::chrono::seconds(6); }
    /// Below 1.5, so that calls with which senders catch up on unused time stay within 1.5 times the limit.
    static constexpr double slowFactor() noexcept { return 1.3; }

    /// Starts the recovery from a limit of \p callsPerSecond.
    void start(TimePoint now, double callsPerSecond) noexcept;

    /// Ends the recovery: the searcher states a limit again.
    void cancel() noexcept { endsAt_ = TimePoint(); }

    /// True if the rate is still restricted.
    bool isActive(TimePoint now) const noexcept { return now < endsAt_; }

    /// Raises the rate if its next step is due. \return true if it has changed.
    bool advance(TimePoint now) noexcept;

    /// The allowed rate over all VMs, as of the last advance().
    double callsPerSecond() const noexcept;

private:
    double formerLimit_ = 0;
    TimePoint startedAt_;
    TimePoint endsAt_;
    std::int64_t step_ = 0;
};

} // namespace sassafrasvane
