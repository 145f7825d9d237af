#pragma once

#include "admission/latencyhistogram.h"
#include "base/time.h"

/// \file
/// Statistics of call durations, per route.

namespace sassafrasvane
{

/// Durations of the calls of one route, over all searchers.
///
/// \code
/// times.add(elapsed);
/// const Duration hedgeAfter = times.hedgeDelay();
/// \endcode
class CallTimes
{
public:
    /// \param latencyTarget the route's latency target. The initial estimates are fixed shares of it.
    explicit CallTimes(Duration latencyTarget) noexcept;

    /// Records the time from sending a call to its answer.
    void add(Duration elapsed) noexcept;

    /// Moving average of the call durations. Outliers are capped.
    Duration typicalDuration() const noexcept { return typicalDuration_; }

    /// Time after which an unanswered call is hedged, that is, also sent to another searcher.
    Duration hedgeDelay() const noexcept;

private:
    Duration latencyTarget_;
    Duration typicalDuration_;
    LatencyHistogram histogram_;
};

} // namespace sassafrasvane
