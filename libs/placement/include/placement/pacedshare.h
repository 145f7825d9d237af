#pragma once

#include "base/time.h"
#include "placement/limitshare.h"

/// \file
/// Paces the calls of this VM to a searcher that states a rate limit.

namespace sassafrasvane
{

/// When this VM may call a searcher that states a rate limit.
///
/// A sender calls once in each interval and catches up on at most burstTime() of unused time. An observer may call in a
/// short slot of each interval; an unused slot expires, as otherwise all observers could call at once after a pause.
///
/// \code
/// paced.setShare(now, share, random.unit());
/// if (paced.mayCall(now)) { paced.onCall(now); }
/// \endcode
class PacedShare
{
public:
    /// Unused time on which a sender catches up.
    static constexpr Duration burstTime() noexcept { return std::chrono::milliseconds(250); }
    /// Length of an observer's slot.
    static constexpr Duration slotLength() noexcept { return std::chrono::seconds(1); }

    /// Sets the share. The time of the last call still counts, if the VM was and is a sender. \param phase when the
    /// first call may be sent, as a share of the interval in [0, 1).
    void setShare(TimePoint now, const LimitShare &share, double phase) noexcept;

    /// Forgets the share: the searcher states no limit.
    void clear() noexcept { share_ = LimitShare(); }

    /// True if the VM may send a call now.
    bool mayCall(TimePoint now) const noexcept;

    /// The earliest time from \p now on at which the VM may send a call.
    TimePoint nextCallAt(TimePoint now) const noexcept;

    /// Unused part of the burst time, from 0 to 1. It is 1 if calls come more slowly than the share allows.
    double headroom(TimePoint now) const noexcept;

    /// True if this VM is an observer whose next call is due.
    bool isObservationDue(TimePoint now) const noexcept { return !share_.isSender && mayCall(now); }

    /// Records a call.
    void onCall(TimePoint now) noexcept;

private:
    // Start of the slot that includes now, or of the next one.
    TimePoint slotAt(TimePoint now) const noexcept;

    LimitShare share_;
    /// When the next call is due. For an observer: the start of its next unused slot.
    TimePoint nextAt_;
};

} // namespace sassafrasvane
