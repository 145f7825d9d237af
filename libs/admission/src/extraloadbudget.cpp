#include "admission/extraloadbudget.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t oneCall = 1'000'000;
/// The capacity is what this many queries of the size of the last one earn, but at least minCapacity.
constexpr std::uint64_t queriesInBucket = 8;
constexpr std::uint64_t minCapacity = 16 * oneCall;
constexpr Duration outcomeWindow = 500ms;
/// With fewer outcomes, the fleet counts as healthy.
constexpr std::uint64_t minOutcomes = 30;

} // namespace

ExtraLoadBudget::ExtraLoadBudget(double extraLoad) noexcept : capacity_(minCapacity), outcomes_(outcomeWindow)
{
    setTarget(extraLoad);
}

void ExtraLoadBudget::setTarget(double extraLoad) noexcept
{
    targetMillionths_ = static_cast<std::uint64_t>(std::clamp(extraLoad, 0.0, 1.0) * static_cast<double>(oneCall));
}

void ExtraLoadBudget::onNeeded(std::size_t calls) noexcept
{
    const std::uint64_t earned = targetMillionths_ * calls;
    capacity_ = std::max(minCapacity, queriesInBucket * earned);
    balance_ = std::min(capacity_, balance_ + earned);
}

void ExtraLoadBudget::onResult(TimePoint now, bool isGood) noexcept
{
    outcomes_.add(now, isGood);
}

bool ExtraLoadBudget::spend(TimePoint now) noexcept
{
    if (balance_ < oneCall || isFleetUnhealthy(now)) {
        return false;
    }
    balance_ -= oneCall;
    ++refundable_;
    return true;
}

void ExtraLoadBudget::refund() noexcept
{
    if (refundable_ == 0) {
        return;
    }
    --refundable_;
    balance_ = std::min(capacity_, balance_ + oneCall);
}

bool ExtraLoadBudget::isFleetUnhealthy(TimePoint now) noexcept
{
    const double badShare = outcomes_.total(now) < minOutcomes ? 0 : outcomes_.badShare(now);
    isUnhealthy_ = badShare > (isUnhealthy_ ? healthyShare() : unhealthyShare());
    return isUnhealthy_;
}

std::uint64_t ExtraLoadBudget::available() const noexcept
{
    return balance_ / oneCall;
}

} // namespace sassafrasvane
