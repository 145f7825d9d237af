#include "admission/coldstart.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Failed calls in a row, without an answer between them, that invalidate the confirmation.
constexpr std::uint32_t failuresToInvalidate = 2;
constexpr std::uint32_t stepFactor = 2;

} // namespace

const char *name(ColdCause cause) noexcept
{
    switch (cause) {
    case ColdCause::None:
        return "none";
    case ColdCause::New:
        return "new";
    case ColdCause::Restarted:
        return "restarted";
    case ColdCause::SaysCold:
        return "says_cold";
    case ColdCause::ConnectionLost:
        return "connection_lost";
    case ColdCause::Failures:
        return "failures";
    case ColdCause::Slower:
        return "slower";
    case ColdCause::Silent:
        return "silent";
    }
    return "none";
}

ColdStart::ColdStart(std::uint32_t slots, std::uint32_t coldAllowance, Duration warmUp) noexcept
{
    setLimits(slots, coldAllowance, warmUp);
    level_ = coldAllowance_;
}

void ColdStart::setLimits(std::uint32_t slots, std::uint32_t coldAllowance, Duration warmUp) noexcept
{
    warmUp_ = warmUp;
    slots_ = std::max<std::uint32_t>(slots, 1);
    coldAllowance_ = std::clamp<std::uint32_t>(coldAllowance, 1, slots_);
    level_ = std::min(level_, slots_);
}

std::uint32_t ColdStart::allowance(TimePoint now) const noexcept
{
    return isConfirmed(now) ? level_ : std::min(level_, coldAllowance_);
}

std::optional<TimePoint> ColdStart::confirmedUntil() const noexcept
{
    if (!confirmedAt_ || level_ <= coldAllowance_) {
        return std::nullopt;
    }
    return *confirmedAt_ + confirmationLifetime();
}

void ColdStart::onAnswered(TimePoint now, TimePoint startedAt, Incarnation incarnation, bool isSlow) noexcept
{
    if (!confirm(now, startedAt, incarnation)) {
        return;
    }
    if (isSlow) {
        stepDown();
    } else {
        countSuccess(now, startedAt);
    }
}

void ColdStart::onAlive(TimePoint now, TimePoint askedAt, Incarnation incarnation) noexcept
{
    if (incarnation.value != 0) {
        confirm(now, askedAt, incarnation);
    }
}

void ColdStart::onRefused(TimePoint now, Incarnation incarnation, bool saysCold) noexcept
{
    if (incarnation > incarnation_ && incarnation_.value != 0) {
        enterIncarnation(now, incarnation, coldAllowance_);
    }
    if (saysCold) {
        reduceLevel(now, coldAllowance_, ColdCause::SaysCold);
    } else if (level_ < slots_) {
        reduceLevel(now, std::max(coldAllowance_, level_ / stepFactor), cause_);
    }
}

void ColdStart::onFailed(TimePoint now) noexcept
{
    ++failuresInRow_;
    if (failuresInRow_ >= failuresToInvalidate) {
        invalidateConfirmation(now, ColdCause::Failures);
    }
    stepDown();
}

void ColdStart::onConnectionLost(TimePoint now) noexcept
{
    invalidateConfirmation(now, ColdCause::ConnectionLost);
}

void ColdStart::onSlower(TimePoint now) noexcept
{
    reduceLevel(now, coldAllowance_, ColdCause::Slower);
}

void ColdStart::onPeerWarmth(TimePoint now, Incarnation incarnation, std::uint32_t allowance, Duration age) noexcept
{
    if (age < Duration{0} || age > confirmationLifetime() || incarnation < incarnation_) {
        return;
    }
    const TimePoint confirmedAt = now - age;
    if (invalidatedAt_ && confirmedAt <= *invalidatedAt_) {
        return;
    }
    const std::uint32_t level = std::clamp(allowance, coldAllowance_, slots_);
    const bool isUnprovenLevel = incarnation.value == 0 && !isConfirmed(now);
    if (incarnation != incarnation_) {
        enterIncarnation(now, incarnation, level);
    } else if (isUnprovenLevel || level > level_) {
        level_ = level;
        successes_ = 0;
    }
    confirmedAt_ = std::max(confirmedAt_.value_or(confirmedAt), confirmedAt);
}

std::optional<WarmthReport> ColdStart::warmth() const noexcept
{
    if (!ownConfirmedAt_) {
        return std::nullopt;
    }
    return WarmthReport{incarnation_, level_, *ownConfirmedAt_};
}

ColdCause ColdStart::cause(TimePoint now) const noexcept
{
    if (allowance(now) >= slots_) {
        return ColdCause::None;
    }
    const bool isSilent = confirmedAt_ && !isConfirmed(now);
    return isSilent ? ColdCause::Silent : cause_;
}

bool ColdStart::isConfirmed(TimePoint now) const noexcept
{
    return confirmedAt_ && now - *confirmedAt_ <= confirmationLifetime();
}

bool ColdStart::confirm(TimePoint now, TimePoint startedAt, Incarnation incarnation) noexcept
{
    const bool isLate = incarnation < incarnation_ && startedAt <= enteredAt_;
    if (incarnation.value != 0 && incarnation != incarnation_ && !isLate) {
        enterIncarnation(now, incarnation, coldAllowance_);
    }
    // A reply without an incarnation confirms nothing once an incarnation is known.
    const bool isBeforeInvalidation = invalidatedAt_ && startedAt <= *invalidatedAt_;
    if (incarnation != incarnation_ || isBeforeInvalidation) {
        return false;
    }
    failuresInRow_ = 0;
    if (incarnation.value == 0 && !isConfirmed(now)) {
        // Once the confirmation is gone, a server that reports no incarnation may have restarted unnoticed, so the
        // earned level no longer holds.
        level_ = std::min(level_, coldAllowance_);
        successes_ = 0;
    }
    confirmedAt_ = std::max(confirmedAt_.value_or(startedAt), startedAt);
    ownConfirmedAt_ = std::max(ownConfirmedAt_.value_or(startedAt), startedAt);
    return true;
}

void ColdStart::enterIncarnation(TimePoint now, Incarnation incarnation, std::uint32_t level) noexcept
{
    cause_ = incarnation_.value == 0 ? ColdCause::New : ColdCause::Restarted;
    incarnation_ = incarnation;
    level_ = level;
    successes_ = 0;
    failuresInRow_ = 0;
    enteredAt_ = now;
    firstAnsweredAt_.reset();
    confirmedAt_.reset();
    ownConfirmedAt_.reset();
}

void ColdStart::reduceLevel(TimePoint now, std::uint32_t level, ColdCause cause) noexcept
{
    level_ = std::min(level_, level);
    successes_ = 0;
    invalidatedAt_ = now;
    ownConfirmedAt_.reset();
    cause_ = cause;
}

void ColdStart::invalidateConfirmation(TimePoint now, ColdCause cause) noexcept
{
    invalidatedAt_ = now;
    confirmedAt_.reset();
    ownConfirmedAt_.reset();
    cause_ = cause;
}

void ColdStart::stepDown() noexcept
{
    if (level_ < slots_) {
        level_ = std::max(std::min(level_, coldAllowance_), level_ / stepFactor);
        successes_ = 0;
    }
}

void ColdStart::countSuccess(TimePoint now, TimePoint startedAt) noexcept
{
    if (!firstAnsweredAt_) {
        firstAnsweredAt_ = startedAt;
    }
    if (level_ >= slots_ || now - *firstAnsweredAt_ < warmUp_) {
        return;
    }
    ++successes_;
    if (successes_ >= successesPerStep()) {
        successes_ = 0;
        level_ = std::min(slots_, std::max(level_ + 1, level_ * stepFactor));
    }
}

} // namespace sassafrasvane
