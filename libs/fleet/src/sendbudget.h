#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

/// \file
/// Token bucket that bounds what a daemon sends.

namespace sassafrasvane::detail
{

/// Token bucket: at most rate + burst in any second.
///
/// \code
/// SendBudget budget(14, 6);
/// if (budget.take(now)) { send(); }
/// \endcode
class SendBudget
{
public:
    /// \param rate tokens a second. \param burst most tokens at once.
    SendBudget(double rate, double burst) noexcept : rate_(rate), burst_(burst), tokens_(burst) { }

    /// Takes one token if more than \p reserve are there; else counts the message as suppressed.
    bool take(TimePoint now, double reserve = 0) noexcept
    {
        const double seconds = std::chrono::duration<double>(std::max(now - filledAt_, Duration(0))).count();
        tokens_ = std::min(burst_, tokens_ + seconds * rate_);
        filledAt_ = std::max(now, filledAt_);
        if (tokens_ < 1 + reserve) {
            ++suppressed_;
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// Messages that got no token.
    std::uint64_t suppressed() const noexcept { return suppressed_; }

private:
    double rate_;
    double burst_;
    double tokens_;
    TimePoint filledAt_;
    std::uint64_t suppressed_ = 0;
};

} // namespace sassafrasvane::detail
