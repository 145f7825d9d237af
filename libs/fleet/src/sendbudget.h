#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

/// \file
/// Token bucket that limits the rate of messages that a daemon sends.

namespace sassafrasvane::detail
{

/// Token bucket: allows at most rate + burst messages in any second.
///
/// \code
/// SendBudget budget(14, 6);
/// if (budget.take(now)) { send(); }
/// \endcode
class SendBudget
{
public:
    /// \param rate tokens per second. \param burst maximum number of tokens in the bucket.
    SendBudget(double rate, double burst) noexcept : rate_(rate), burst_(burst), tokens_(burst) { }

    /// Takes one token if at least \p reserve tokens remain after it; otherwise counts the message as suppressed.
    /// \return true if a token was taken.
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

    /// Number of messages that got no token.
    std::uint64_t suppressed() const noexcept { return suppressed_; }

private:
    double rate_;
    double burst_;
    double tokens_;
    TimePoint filledAt_;
    std::uint64_t suppressed_ = 0;
};

} // namespace sassafrasvane::detail
