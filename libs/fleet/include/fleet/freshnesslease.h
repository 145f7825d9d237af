#pragma once

#include "base/time.h"

#include <optional>

/// \file
/// Time for which a daemon may act on its fleet state and configuration without a confirmation.

namespace sassafrasvane
{

/// Durations of a FreshnessLease.
struct LeaseLimits {
    /// Time for which a confirmation is valid.
    Duration lease = std::chrono::milliseconds(2'000);
    /// Time for which new work is held while peers and the service are asked. If none answers by then, they are taken
    /// as unreachable.
    Duration refreshTimeout = std::chrono::milliseconds(500);
    /// Time to fetch newer values that a peer has announced. After it the last accepted values are used.
    Duration fetchTimeout = std::chrono::milliseconds(2'000);
    /// Time between two refreshes while isolated.
    Duration retryAfter = std::chrono::milliseconds(1'000);
};

/// State of a FreshnessLease; says whether new work may be sent.
enum class LeaseState {
    Valid,      ///< Confirmed within the lease.
    Refreshing, ///< Peers and the service are being asked: hold new work.
    Isolated,   ///< No confirmation came in time: send work by the last accepted values.
};

/// Actions that FreshnessLease requests after an event.
struct LeaseActions {
    /// Ask peers and the service now: Membership::probeNow() and ConfigDistributor::readNow().
    bool refresh = false;
    /// When onTimer() must be called next.
    std::optional<TimePoint> wakeAt;
};

/// Lease on a daemon's view of the fleet and of the configuration, checked before each new piece of work is sent.
///
/// A confirmation counts from the time when the request was sent, not from when the answer was read (Gray and Cheriton,
/// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989). An answer that stayed
/// in a socket's buffer while the process was suspended therefore confirms nothing. The clock must count suspended
/// time.
///
/// \code
/// switch (lease.check(now, actions)) {
/// case LeaseState::Refreshing: queue(work); break;
/// case LeaseState::Valid:
/// case LeaseState::Isolated: send(work); break;
/// }
/// \endcode
class FreshnessLease
{
public:
    /// Starts without any confirmation.
    explicit FreshnessLease(TimePoint now, const LeaseLimits &limits = {}) noexcept;

    /// \return whether new work may be sent now. Must be called for each piece of work.
    LeaseState check(TimePoint now, LeaseActions &actions) noexcept;

    /// Handles an answer of a peer (PeerContact with probedAt) or of the service.
    /// \param askedAt when the request was sent.
    /// \param isCurrent false if the answer has newer versions than those in force here; call again once they are in
    /// force.
    void onResponse(TimePoint now, TimePoint askedAt, bool isCurrent) noexcept;

    /// Renews the lease before it expires, and ends refreshes that got no answer.
    void onTimer(TimePoint now, LeaseActions &actions) noexcept;

    /// Start of the current lease: when the last confirmed request was sent.
    std::optional<TimePoint> confirmedAt() const noexcept { return confirmedAt_; }

private:
    bool isValid(TimePoint now) const noexcept;
    void advance(TimePoint now, LeaseActions &actions) noexcept;
    void startRefresh(TimePoint now, LeaseActions &actions) noexcept;

    LeaseLimits limits_;
    LeaseState state_ = LeaseState::Refreshing;
    std::optional<TimePoint> confirmedAt_;
    /// When peers and the service were last asked.
    std::optional<TimePoint> lastRefreshAt_;
    /// While refreshing: when the refresh or the fetch times out.
    TimePoint refreshDeadline_;
    bool isFetching_ = false;
    /// When this object was last called. A gap longer than the lease means that the process was suspended.
    TimePoint lastCalledAt_;
};

} // namespace sassafrasvane
