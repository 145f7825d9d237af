#include "fleet/slowstart.h"

#include <algorithm>

namespace sassafrasvane
{

void SlowStart::onUnavailable(TimePoint now) noexcept
{
    if (unavailableSince_) {
        return;
    }
    formerShare_ = share(now);
    unavailableSince_ = now;
}

void SlowStart::onAvailable(TimePoint now) noexcept
{
    if (!unavailableSince_) {
        return;
    }
    const double absence = std::chrono::duration<double>(std::max(now - *unavailableSince_, Duration(0))).count();
    const double forgetAfter = std::chrono::duration<double>(limits_.forgetAfter).count();
    startShare_ = std::max(limits_.step, formerShare_ * (1 - std::min(1.0, absence / forgetAfter)));
    availableSince_ = now;
    unavailableSince_.reset();
}

double SlowStart::share(TimePoint now) const noexcept
{
    if (unavailableSince_) {
        return 0;
    }
    const Duration::rep steps = std::max(now - availableSince_, Duration(0)) / limits_.stepInterval;
    return std::min(1.0, startShare_ + limits_.step * static_cast<double>(steps));
}

} // namespace sassafrasvane
