#pragma once

#include "base/time.h"

#include <optional>

/// \file
/// How long a daemon may act on what it knows.

namespace sassafrasvane
{

/// Bounds of a KnowledgeLease.
struct LeaseLimits {
    /// Time for which a confirmation holds.
    Duration lease = std::chrono::milliseconds(2'000);
    /// Time for which new work is held while peers and the service are asked; then they provably cannot be reached.
    Duration refreshTimeout = std::chrono::milliseconds(500);
    /// Time to fetch what a peer says is newer, before the last accepted values are used all the same.
    Duration fetchTimeout = std::chrono::milliseconds(2'000);
    /// Time between two attempts while cut off.
    Duration retryAfter = std::chrono::milliseconds(1'000);
};

/// Whether new work may be sent.
enum class LeaseState {
    Valid,      ///< Confirmed within the lease.
    Refreshing, ///< Being confirmed: hold new work for a moment.
    Isolated,   ///< Neither peers nor the service answered: the last accepted values are used.
};

/// What KnowledgeLease wants done after an event.
struct LeaseActions {
    /// Ask peers and the service now: Membership::probeNow() and ConfigSpread::readNow().
    bool refresh = false;
    /// When onTimer() wants to be called.
    std::optional<TimePoint> wakeAt;
};

/// Lease on the knowledge of a process, checked before each new piece of work is sent.
///
/// A confirmation counts from the time when the question was sent, not from when the answer was read (Gray and
/// Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989): so an
/// answer that lay in a socket's buffer while the process slept confirms nothing. The clock counts sleep.
///
/// \code
/// switch (lease.check(now, actions)) {
/// case LeaseState::Held: queue(work); break;
/// case LeaseState::Valid:
/// case LeaseState::CutOff: send(work); break;
/// }
/// \endcode
class FreshnessLease
{
public:
    /// Starts without any confirmation.
    explicit FreshnessLease(TimePoint now, const LeaseLimits &limits = {}) noexcept;

    /// Whether new work may be sent now. Call it for each piece of work.
    LeaseState check(TimePoint now, LeaseActions &actions) noexcept;

    /// Takes an answer of a peer (PeerContact with probedAt) or of the service.
    /// \param askedAt when the question was sent.
    /// \param isCurrent false if the answer names values newer than those in force here; call again once they are.
    void onResponse(TimePoint now, TimePoint askedAt, bool isCurrent) noexcept;

    /// Renews the lease before it ends, and ends attempts without an answer.
    void onTimer(TimePoint now, LeaseActions &actions) noexcept;

    /// When the knowledge was last confirmed.
    std::optional<TimePoint> confirmedAt() const noexcept { return confirmedAt_; }

private:
    bool isValid(TimePoint now) const noexcept;
    void advance(TimePoint now, LeaseActions &actions) noexcept;
    void startRefresh(TimePoint now, LeaseActions &actions) noexcept;

    LeaseLimits limits_;
    LeaseState state_ = LeaseState::Refreshing;
    std::optional<TimePoint> confirmedAt_;
    /// When the last attempt began.
    std::optional<TimePoint> lastRefreshAt_;
    /// While held: when the attempt ends without success.
    TimePoint refreshDeadline_;
    bool isFetching_ = false;
    /// When this object was last called; a gap longer than the lease means that the process slept.
    TimePoint lastCalledAt_;
};

} // namespace sassafrasvane
