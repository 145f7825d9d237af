#pragma once

#include <cstdint>

/// \file
/// The budget of extra calls to one back end.

namespace sassafrasvane
{

/// A token bucket that requests fill: each request for the back end earns a fixed share of an extra call.
///
/// In any window, the extra calls of one entry VM are at most ratio times the requests in that window plus the burst.
/// So with the burst divided among the entry VMs, the bound over all of them holds without messages.
///
/// \code
/// budget.onRequest();
/// if (budget.spend()) { ... }
/// \endcode
class RetryBudget
{
public:
    /// \param ratio extra calls that a request earns. \param burst most extra calls that are saved up.
    RetryBudget(double ratio, double burst) noexcept;

    /// Replaces both terms. What is saved up beyond \p burst is lost.
    void setLimits(double ratio, double burst) noexcept;

    /// Notes a request for the back end.
    void onRequest() noexcept;

    /// Takes one extra call. \return false if there is none.
    bool spend() noexcept;

    /// Gives back a call that was not sent.
    void refund() noexcept;

    double available() const noexcept { return tokens_; }

private:
    double ratio_;
    double burst_;
    double tokens_;
};

} // namespace sassafrasvane
