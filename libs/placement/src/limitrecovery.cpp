#include "placement/limitrecovery.h"

#include <cmath>
#include <utility>

namespace sassafrasvane
{

namespace
{

/// Time between two steps of the rate. Each step computes the VM's share of the rate again.
constexpr Duration stepTime = std::chrono::milliseconds(250);
/// Steps in which the rate doubles after slowTime().
constexpr double doublingSteps = 2;

} // namespace

void LimitRecovery::start(TimePoint now, double callsPerSecond) noexcept
{
    formerLimit_ = callsPerSecond;
    startedAt_ = now;
    endsAt_ = now + length();
    step_ = 0;
}

bool LimitRecovery::advance(TimePoint now) noexcept
{
    const std::int64_t step = isActive(now) ? (now - startedAt_) / stepTime : step_;
    return std::exchange(step_, step) != step;
}

double LimitRecovery::callsPerSecond() const noexcept
{
    constexpr std::int64_t slowSteps = slowTime() / stepTime;
    if (step_ <= slowSteps) {
        return formerLimit_ * (1 + (slowFactor() - 1) * static_cast<double>(step_) / static_cast<double>(slowSteps));
    }
    return formerLimit_ * slowFactor() * std::exp2(static_cast<double>(step_ - slowSteps) / doublingSteps);
}

} // namespace sassafrasvane
