#include "placement/callpause.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafrasvane
{

const char *name(PauseChange change) noexcept
{
    constexpr std::array<const char *, 4> names{"none", "begun", "clamped", "unreadable"};
    return names.at(static_cast<std::size_t>(change));
}

PauseChange CallPause::apply(TimePoint now, const SelfReport &selfReport, double spread) noexcept
{
    if (!selfReport.pause) {
        if (!selfReport.isPauseUnreadable) {
            return PauseChange::None;
        }
        return std::exchange(isUnreadable_, true) ? PauseChange::None : PauseChange::Unreadable;
    }
    isUnreadable_ = false;
    const bool wasInForce = isInForce(now);
    const Duration pause = std::min(*selfReport.pause, maxPause());
    endsAt_ = std::max(endsAt_, now + pause + shareOf(std::min(shareOf(pause, spreadShare()), maxSpread()), spread));
    if (wasInForce || pause <= Duration{0}) {
        return PauseChange::None;
    }
    return pause < *selfReport.pause ? PauseChange::Clamped : PauseChange::Begun;
}

} // namespace sassafrasvane
