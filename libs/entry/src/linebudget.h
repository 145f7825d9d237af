#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <utility>

/// \file
/// Rate limit of the log lines about what clients send.

namespace sassafrasvane::detail
{

/// A token bucket for log lines that any client can cause. Counts the lines that are left out.
///
/// \code
/// LineBudget budget;
/// if (budget.admit(now)) { log.line(...).count("not_logged", budget.takeOmitted()); }
/// \endcode
class LineBudget
{
public:
    /// Lines that may be written at once, and in a second in the long run.
    static constexpr double burst() noexcept { return 400; }
    static constexpr double linesPerSecond() noexcept { return 100; }

    /// \return true if a line may be written; false if it was counted as left out.
    bool admit(TimePoint now) noexcept
    {
        const double seconds = toMilliseconds(now - refilledAt_) / 1'000;
        tokens_ = std::min(burst(), tokens_ + seconds * linesPerSecond());
        refilledAt_ = now;
        if (tokens_ < 1) {
            ++omitted_;
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// Lines that were left out since the last call.
    std::uint64_t takeOmitted() noexcept { return std::exchange(omitted_, 0); }

private:
    double tokens_ = burst();
    TimePoint refilledAt_;
    std::uint64_t omitted_ = 0;
};

} // namespace sassafrasvane::detail
