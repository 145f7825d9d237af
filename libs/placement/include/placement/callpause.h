#pragma once

#include "base/time.h"
#include "placement/selfreport.h"

/// \file
/// The pause that a searcher asks of this VM.

namespace sassafrasvane
{

/// How a reply changed a CallPause.
enum class PauseChange {
    None,       ///< No pause is asked for, or one is in force already.
    Begun,      ///< A pause has begun.
    Clamped,    ///< A pause has begun, shorter than asked for.
    Unreadable, ///< The reply asks for a pause that cannot be parsed; there is none. Told once in a row.
};

/// Stable lower-case name of \p change, as written to log lines.
const char *name(PauseChange change) noexcept;

/// The time for which one searcher process wants no calls of this VM.
///
/// A later reply may lengthen a pause and does not shorten it. The time includes suspensions of this process.
///
/// \code
/// if (pause.apply(now, reply.selfReport, random.unit()) != PauseChange::None) { ... }
/// if (!pause.isInForce(now)) { ... }
/// \endcode
class CallPause
{
public:
    /// Longer pauses are clamped: a searcher that asks for an absurd time by mistake is called again some day.
    static constexpr Duration maxPause() noexcept { return std::chrono::minutes(10); }
    /// Maximum time by which a pause is lengthened at random, so that VMs and calls do not return at one instant: this
    /// share of the pause, and no more than maxSpread().
    static constexpr double spreadShare() noexcept { return 0.1; }
    static constexpr Duration maxSpread() noexcept { return std::chrono::milliseconds(250); }

    /// Applies what a reply says. \param spread random number in [0, 1).
    PauseChange apply(TimePoint now, const SelfReport &selfReport, double spread) noexcept;

    /// True if no calls may be sent.
    bool isInForce(TimePoint now) const noexcept { return now < endsAt_; }

    /// When the pause ends; in the past if there is none.
    TimePoint endsAt() const noexcept { return endsAt_; }

private:
    TimePoint endsAt_;
    /// True if the last reply that asked for a pause could not be parsed.
    bool isUnreadable_ = false;
};

} // namespace sassafrasvane
