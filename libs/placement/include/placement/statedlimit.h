#pragma once

#include "base/time.h"
#include "placement/selfreport.h"

#include <cstdint>

/// \file
/// The rate limit that a searcher states in its replies.

namespace sassafrasvane
{

/// How a reply changed a StatedLimit.
enum class LimitChange {
    None,
    Stated,     ///< The searcher states a limit and had none before.
    Changed,    ///< The searcher states another limit than before.
    Ended,      ///< The searcher states no limit any more.
    Unreadable, ///< The searcher states something that cannot be parsed; the limit stays as it was. Told once in a row.
};

/// Stable lower-case name of \p change, as written to log lines.
const char *name(LimitChange change) noexcept;

/// The rate limit of one searcher process, over all VMs, as its latest replies state it.
///
/// Replies may arrive out of order. A lower limit is in force at once; a higher one or the end of the limit only if the
/// reply belongs to a call that was sent after the last reply with the limit had arrived, and so is certainly newer.
///
/// \code
/// if (limit.apply(now, sentAt, reply.selfReport, hasRun) != LimitChange::None) { ... }
/// \endcode
class StatedLimit
{
public:
    /// Limits outside this range are clamped to it, in calls per second. Without a call now and then this process would
    /// never learn that the limit has ended.
    static constexpr double minCallsPerSecond() noexcept { return 0.05; }
    static constexpr double maxCallsPerSecond() noexcept { return 1e6; }

    /// Applies what a reply says. \param sentAt when its call was sent. \param hasRun true if the searcher has run the
    /// call; only then does a reply without a limit end the limit.
    LimitChange apply(TimePoint now, TimePoint sentAt, const SelfReport &selfReport, bool hasRun) noexcept;

    /// True if the searcher states a limit.
    bool isInForce() const noexcept { return isInForce_; }

    /// The limit in calls per second over all VMs; 0 if there is none.
    double callsPerSecond() const noexcept { return isInForce_ ? callsPerSecond_ : 0; }

    /// When the limit was first stated.
    TimePoint statedAt() const noexcept { return statedAt_; }

    /// Records a call of this process; counted only while the limit is in force.
    void countCall() noexcept { calls_ += isInForce_ ? 1 : 0; }

    /// Returns the number of calls since the previous takeCallCount().
    std::uint64_t takeCallCount() noexcept;

private:
    bool isInForce_ = false;
    double callsPerSecond_ = 0;
    TimePoint statedAt_;
    /// Arrival of the last reply that stated the limit in force.
    TimePoint confirmedAt_;
    std::uint64_t calls_ = 0;
    /// True if the last reply stated something that cannot be parsed.
    bool isUnreadable_ = false;
};

} // namespace sassafrasvane
