#include "placement/statedlimit.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sassafrasvane
{

const char *name(LimitChange change) noexcept
{
    constexpr std::array<const char *, 5> names{"none", "stated", "changed", "ended", "unreadable"};
    return names.at(static_cast<std::size_t>(change));
}

LimitChange StatedLimit::apply(TimePoint now, TimePoint sentAt, const SelfReport &selfReport, bool hasRun) noexcept
{
    const bool isNewest = !isInForce_ || sentAt > confirmedAt_;
    const bool wasUnreadable = std::exchange(isUnreadable_, selfReport.isLimitUnreadable && !selfReport.callsPerSecond);
    if (isUnreadable_) {
        return wasUnreadable ? LimitChange::None : LimitChange::Unreadable;
    }
    if (!selfReport.callsPerSecond) {
        if (!isInForce_ || !hasRun || !isNewest) {
            return LimitChange::None;
        }
        isInForce_ = false;
        return LimitChange::Ended;
    }
    const double stated = std::clamp(*selfReport.callsPerSecond, minCallsPerSecond(), maxCallsPerSecond());
    if (isInForce_ && stated > callsPerSecond_ && !isNewest) {
        return LimitChange::None;
    }
    const bool isFirst = !std::exchange(isInForce_, true);
    confirmedAt_ = now;
    if (isFirst) {
        statedAt_ = now;
        calls_ = 0;
        callsPerSecond_ = stated;
        return LimitChange::Stated;
    }
    return std::exchange(callsPerSecond_, stated) == stated ? LimitChange::None : LimitChange::Changed;
}

std::uint64_t StatedLimit::takeCallCount() noexcept
{
    return std::exchange(calls_, 0);
}

} // namespace sassafrasvane
