#include "fleet/freshnesslease.h"

#include <algorithm>

namespace sassafrasvane
{

FreshnessLease::FreshnessLease(TimePoint now, const LeaseLimits &limits) noexcept : limits_(limits), lastCalledAt_(now)
{
}

bool FreshnessLease::isValid(TimePoint now) const noexcept
{
    return confirmedAt_ && now - *confirmedAt_ <= limits_.lease;
}

LeaseState FreshnessLease::check(TimePoint now, LeaseActions &actions) noexcept
{
    advance(now, actions);
    return state_;
}

void FreshnessLease::onTimer(TimePoint now, LeaseActions &actions) noexcept
{
    advance(now, actions);
    // The refresh starts after half the lease, so that work is held only if no answer arrives in the other half.
    const bool isHalfOver = confirmedAt_ && now - *confirmedAt_ >= limits_.lease / 2;
    const bool hasAsked = lastRefreshAt_ && confirmedAt_ && now - *lastRefreshAt_ < limits_.lease / 4;
    if (state_ == LeaseState::Valid && isHalfOver && !hasAsked) {
        lastRefreshAt_ = now;
        actions.refresh = true;
    }
    if (state_ == LeaseState::Valid) {
        const TimePoint half = *confirmedAt_ + limits_.lease / 2;
        actions.wakeAt = half > now ? half : now + limits_.lease / 4;
    }
}

void FreshnessLease::advance(TimePoint now, LeaseActions &actions) noexcept
{
    const bool wasSuspended = now - lastCalledAt_ > limits_.lease;
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
    case LeaseState::Refreshing:
        // After a suspension peers must be asked again: answers to requests sent before it prove nothing about the
        // present.
        if (!lastRefreshAt_ || wasSuspended) {
            startRefresh(now, actions);
        } else if (now >= refreshDeadline_) {
            state_ = LeaseState::Isolated;
        }
        break;
    case LeaseState::Isolated:
        if (wasSuspended) {
            startRefresh(now, actions);
        } else if (now - *lastRefreshAt_ >= limits_.retryAfter) {
            lastRefreshAt_ = now;
            actions.refresh = true;
        }
        break;
    }
    actions.wakeAt = state_ == LeaseState::Refreshing ? refreshDeadline_ : *lastRefreshAt_ + limits_.retryAfter;
}

void FreshnessLease::startRefresh(TimePoint now, LeaseActions &actions) noexcept
{
    state_ = LeaseState::Refreshing;
    lastRefreshAt_ = now;
    refreshDeadline_ = now + limits_.refreshTimeout;
    isFetching_ = false;
    actions.refresh = true;
}

void FreshnessLease::onResponse(TimePoint now, TimePoint askedAt, bool isCurrent) noexcept
{
    if (now - askedAt > limits_.lease) {
        return;
    }
    if (isCurrent) {
        confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, askedAt) : askedAt;
        return;
    }
    const bool isOfThisAttempt = state_ != LeaseState::Valid && lastRefreshAt_ && askedAt >= *lastRefreshAt_;
    if (isOfThisAttempt && !isFetching_) {
        // Also ends an isolation, since a peer with newer values is reachable.
        isFetching_ = true;
        state_ = LeaseState::Refreshing;
        refreshDeadline_ = now + limits_.fetchTimeout;
    }
}

} // namespace sassafrasvane
