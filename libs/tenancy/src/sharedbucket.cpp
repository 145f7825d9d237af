#include "sharedbucket.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Time for which the reserve outlives the silence, so that the first report of each VM of a tenant with traffic can
/// use it.
constexpr Duration reserveRetention = std::chrono::milliseconds(700);
/// Longest silence whose withheld tokens are kept in the reserve, in seconds of the whole rate.
constexpr double maxReserveSeconds = 60;

double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double SharedBucket::limit() const noexcept
{
    // A side that may use anything can hold a token, or its refill would be lost.
    return part_ > 0 ? std::max(1.0, capacity_ * part_) : 0;
}

void SharedBucket::setQuota(TimePoint now, double rate, double capacity) noexcept
{
    refill(now);
    rate_ = rate;
    capacity_ = capacity;
    level_ = std::min(level_, limit());
}

void SharedBucket::setPart(TimePoint now, double part, double partOfOthers) noexcept
{
    // The silence began before it was noticed, so that the lower part applies to the time since the last refill.
    const double former = part_;
    part_ = std::min(former, part);
    refill(now);
    if (partOfOthers <= 0 && partOfOthers_ > 0) {
        completeSince_ = now;
    }
    part_ = part;
    partOfOthers_ = partOfOthers;
    if (level_ > limit()) {
        reserve_ += level_ - limit();
        level_ = limit();
    }
}

void SharedBucket::refill(TimePoint now) noexcept
{
    const double seconds = std::max(0.0, secondsOf(now - refilledAt_));
    refilledAt_ = std::max(refilledAt_, now);
    level_ = std::min(level_ + rate_ * part_ * seconds, std::max(level_, limit()));
    if (partOfOthers_ > 0) {
        reserve_ = std::min(reserve_ + rate_ * partOfOthers_ * seconds, capacity_ + rate_ * maxReserveSeconds);
    } else if (now - completeSince_ > reserveRetention) {
        reserve_ = 0;
    }
}

void SharedBucket::take(double tokens) noexcept
{
    // Paying back more than a full bucket would refuse a tenant for longer than the window.
    level_ = std::max(level_ - tokens, std::min(level_, -capacity_));
}

void SharedBucket::takeFromReserve(double tokens) noexcept
{
    const double reserved = std::min(tokens, reserve_);
    reserve_ -= reserved;
    take(tokens - reserved);
}

void SharedBucket::giveBack(double tokens) noexcept
{
    level_ = std::min(level_ + tokens, std::max(level_, limit()));
}

void SharedBucket::raiseTo(double level) noexcept
{
    level_ = std::max(level_, std::min(level, limit()));
}

Duration SharedBucket::timeToToken(Duration longest) const noexcept
{
    const double rate = rate_ * part_;
    const double missing = std::max(0.0, 1 - level_);
    if (missing >= rate * secondsOf(longest)) {
        return longest;
    }
    return fromMilliseconds(missing / rate * 1'000);
}

} // namespace sassafrasvane::detail
