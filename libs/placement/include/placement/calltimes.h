#pragma once

#include "admission/latencyhistogram.h"
#include "base/time.h"

/// \file
/// How long calls of one route usually take.

namespace sassafrasvane
{

/// Times of the calls of one route, over all searchers.
///
/// \code
/// times.add(elapsed);
/// const Duration hedgeAfter = times.hedgeDelay(route.latencyTarget);
/// \endcode
class CallTimes
{
public:
    /// \param latencyTarget the route's target, from which the first estimates are taken.
    explicit CallTimes(Duration latencyTarget) noexcept;

    /// Notes the time that a call took from its sending to its answer.
    void add(Duration elapsed) noexcept;

    /// The usual time of a call.
    Duration typicalDuration() const noexcept { return typicalDuration_; }

    /// Time after which an unanswered call is late enough to be sent to another searcher as well.
    Duration hedgeDelay() const noexcept;

private:
    Duration latencyTarget_;
    Duration typicalDuration_;
    LatencyHistogram histogram_;
};

} // namespace sassafrasvane
