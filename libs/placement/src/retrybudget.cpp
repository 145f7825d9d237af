#include "placement/retrybudget.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Tokens that a new bucket holds. The value is low because many processes may start at the same time.
constexpr double initialTokens = 1;

} // namespace

RetryBudget::RetryBudget(double ratio, double burst) noexcept
    : ratio_(ratio), burst_(burst), tokens_(std::min(burst, initialTokens))
{
}

void RetryBudget::setLimits(double ratio, double burst) noexcept
{
    ratio_ = ratio;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
}

void RetryBudget::onRequest() noexcept
{
    tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool RetryBudget::spend() noexcept
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void RetryBudget::refund() noexcept
{
    tokens_ = std::min(burst_, tokens_ + 1);
}

} // namespace sassafrasvane
