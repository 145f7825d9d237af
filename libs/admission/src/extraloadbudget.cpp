#include "admission/extraloadbudget.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t oneCall = 1'000'000;
/// The bucket holds what this many queries of the present size earn, and at least minBound.
constexpr std::uint64_t queriesInBucket = 8;
constexpr std::uint64_t minBound = 16 * oneCall;
constexpr Duration outcomeWindow = 500ms;
/// Fewer outcomes tell nothing of the fleet.
constexpr std::uint64_t minOutcomes = 30;

} // namespace

ExtraLoadBudget::ExtraLoadBudget(double extraLoad) noexcept : bound_(minBound), outcomes_(outcomeWindow)
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
    bound_ = std::max(minBound, queriesInBucket * earned);
    balance_ = std::min(bound_, balance_ + earned);
}

void ExtraLoadBudget::onResult(TimePoint now, bool isGood) noexcept
{
    outcomes_.add(now, isGood);
}

bool ExtraLoadBudget::spend(TimePoint now) noexcept
{
    if (balance_ < oneCall || isFleetIll(now)) {
        return false;
    }
    balance_ -= oneCall;
    ++unrefunded_;
    return true;
}

void ExtraLoadBudget::refund() noexcept
{
    if (unrefunded_ == 0) {
        return;
    }
    --unrefunded_;
    balance_ = std::min(bound_, balance_ + oneCall);
}

bool ExtraLoadBudget::isFleetIll(TimePoint now) noexcept
{
    const double badShare = outcomes_.total(now) < minOutcomes ? 0 : outcomes_.badShare(now);
    isIll_ = badShare > (isIll_ ? wellShare() : illShare());
    return isIll_;
}

std::uint64_t ExtraLoadBudget::available() const noexcept
{
    return balance_ / oneCall;
}

} // namespace sassafrasvane
