#pragma once

#include <cstdint>

/// \file
/// Budget of extra calls (retries and hedges) to one backend.

namespace sassafrasvane
{

/// Token bucket for extra calls. Each request for the backend adds a fixed fraction of a token.
///
/// In any time window, the number of extra calls of one entry VM is at most ratio times its requests in that window
/// plus the burst. If the burst is divided among the entry VMs, the bound over all of them holds without coordination.
///
/// \code
/// budget.onRequest();
/// if (budget.spend()) { ... }
/// \endcode
class RetryBudget
{
public:
    /// \param ratio tokens that a request adds. \param burst maximum number of tokens in the bucket.
    RetryBudget(double ratio, double burst) noexcept;

    /// Replaces both limits. Tokens beyond \p burst are discarded.
    void setLimits(double ratio, double burst) noexcept;

    /// Records a request for the backend.
    void onRequest() noexcept;

    /// Takes one token. \return false if less than one token is left.
    bool spend() noexcept;

    /// Returns the token of a call that was not sent.
    void refund() noexcept;

    double available() const noexcept { return tokens_; }

private:
    double ratio_;
    double burst_;
    double tokens_;
};

} // namespace sassafrasvane
