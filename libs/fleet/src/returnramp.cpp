#include "fleet/returnramp.h"

#include <algorithm>

namespace sassafrasvane
{

void ReturnRamp::onGone(TimePoint now) noexcept
{
    if (goneAt_) {
        return;
    }
    shareBefore_ = share(now);
    goneAt_ = now;
}

void ReturnRamp::onBack(TimePoint now) noexcept
{
    if (!goneAt_) {
        return;
    }
    const double away = std::chrono::duration<double>(std::max(now - *goneAt_, Duration(0))).count();
    const double forgetAfter = std::chrono::duration<double>(limits_.forgetAfter).count();
    startShare_ = std::max(limits_.step, shareBefore_ * (1 - std::min(1.0, away / forgetAfter)));
    backAt_ = now;
    goneAt_.reset();
}

double ReturnRamp::share(TimePoint now) const noexcept
{
    if (goneAt_) {
        return 0;
    }
    const Duration::rep steps = std::max(now - backAt_, Duration(0)) / limits_.stepTime;
    return std::min(1.0, startShare_ + limits_.step * static_cast<double>(steps));
}

} // namespace sassafrasvane
