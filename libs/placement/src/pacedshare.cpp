#include "placement/pacedshare.h"

#include <algorithm>

namespace sassafrasvane
{

void PacedShare::setShare(TimePoint now, const LimitShare &share, double phase) noexcept
{
    if (share == share_) {
        return;
    }
    const bool wasSender = share_.isSender;
    const TimePoint lastAt = nextAt_ - share_.interval;
    share_ = share;
    nextAt_ = wasSender && share.isSender ? lastAt + share.interval : now + shareOf(share.interval, phase);
}

TimePoint PacedShare::slotAt(TimePoint now) const noexcept
{
    if (share_.isSender || now < nextAt_ + slotLength() || share_.interval <= Duration{0}) {
        return nextAt_;
    }
    const Duration sinceSlot = (now - nextAt_) % share_.interval;
    return sinceSlot < slotLength() ? now - sinceSlot : now - sinceSlot + share_.interval;
}

bool PacedShare::mayCall(TimePoint now) const noexcept
{
    return now >= slotAt(now);
}

TimePoint PacedShare::nextCallAt(TimePoint now) const noexcept
{
    return std::max(now, slotAt(now));
}

double PacedShare::headroom(TimePoint now) const noexcept
{
    if (!share_.isSender) {
        return 0;
    }
    const double unused = static_cast<double>((now - nextAt_).count()) / static_cast<double>(burstTime().count());
    return std::clamp(unused, 0.0, 1.0);
}

void PacedShare::onCall(TimePoint now) noexcept
{
    nextAt_ = (share_.isSender ? std::max(nextAt_, now - burstTime()) : std::min(slotAt(now), now)) + share_.interval;
}

} // namespace sassafrasvane
