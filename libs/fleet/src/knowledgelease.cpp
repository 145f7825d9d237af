#include "fleet/knowledgelease.h"

#include <algorithm>

namespace sassafrasvane
{

KnowledgeLease::KnowledgeLease(TimePoint now, const LeaseLimits &limits) noexcept : limits_(limits), lastCalledAt_(now)
{
}

bool KnowledgeLease::isValid(TimePoint now) const noexcept
{
    return confirmedAt_ && now - *confirmedAt_ <= limits_.lease;
}

LeaseState KnowledgeLease::check(TimePoint now, LeaseActions &actions) noexcept
{
    advance(now, actions);
    return state_;
}

void KnowledgeLease::onTimer(TimePoint now, LeaseActions &actions) noexcept
{
    advance(now, actions);
    // Questions go out at half the lease, so that work is held only if they are not answered.
    const bool isHalfOver = confirmedAt_ && now - *confirmedAt_ >= limits_.lease / 2;
    const bool hasAsked = refreshedAt_ && confirmedAt_ && now - *refreshedAt_ < limits_.lease / 4;
    if (state_ == LeaseState::Valid && isHalfOver && !hasAsked) {
        refreshedAt_ = now;
        actions.refresh = true;
    }
    if (state_ == LeaseState::Valid) {
        const TimePoint half = *confirmedAt_ + limits_.lease / 2;
        actions.wakeAt = half > now ? half : now + limits_.lease / 4;
    }
}

void KnowledgeLease::advance(TimePoint now, LeaseActions &actions) noexcept
{
    const bool hasSlept = now - lastCalledAt_ > limits_.lease;
    lastCalledAt_ = std::max(now, lastCalledAt_);
    if (isValid(now)) {
        state_ = LeaseState::Valid;
        isFetching_ = false;
        return;
    }
    switch (state_) {
    case LeaseState::Valid:
        startRefresh(now, actions);
        break;
    case LeaseState::Held:
        // A sleeper must ask again: its earlier questions say nothing about now.
        if (!refreshedAt_ || hasSlept) {
            startRefresh(now, actions);
        } else if (now >= heldUntil_) {
            state_ = LeaseState::CutOff;
        }
        break;
    case LeaseState::CutOff:
        if (hasSlept) {
            startRefresh(now, actions);
        } else if (now - *refreshedAt_ >= limits_.retryAfter) {
            refreshedAt_ = now;
            actions.refresh = true;
        }
        break;
    }
    actions.wakeAt = state_ == LeaseState::Held ? heldUntil_ : *refreshedAt_ + limits_.retryAfter;
}

void KnowledgeLease::startRefresh(TimePoint now, LeaseActions &actions) noexcept
{
    state_ = LeaseState::Held;
    refreshedAt_ = now;
    heldUntil_ = now + limits_.refreshTimeout;
    isFetching_ = false;
    actions.refresh = true;
}

void KnowledgeLease::onAnswer(TimePoint now, TimePoint askedAt, bool isCurrent) noexcept
{
    if (now - askedAt > limits_.lease) {
        return;
    }
    if (isCurrent) {
        confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, askedAt) : askedAt;
        return;
    }
    const bool isOfThisAttempt = state_ != LeaseState::Valid && refreshedAt_ && askedAt >= *refreshedAt_;
    if (isOfThisAttempt && !isFetching_) {
        // Also ends a cut-off: someone who knows more can be reached.
        isFetching_ = true;
        state_ = LeaseState::Held;
        heldUntil_ = now + limits_.fetchTimeout;
    }
}

} // namespace sassafrasvane
