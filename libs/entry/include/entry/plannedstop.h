#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

/// \file
/// The order of a planned stop.

namespace sassafrasvane
{

/// What a planned stop asks for next.
enum class StopStep {
    Serve,         ///< Go on accepting connections.
    StopAccepting, ///< Close the listener. Asked for once.
    CloseIdle,     ///< Close the connections on which nothing happens.
    End,           ///< End the process.
};

/// Decides how a process ends within its grace period.
///
/// Callers keep connecting until their list of entry VMs has expired, so the listener stays open for half of the grace
/// period. Then idle connections are closed, and the process ends when none is left or when little time is.
class PlannedStop
{
public:
    /// Time before the end of the grace period by which everything is closed.
    static constexpr Duration margin() noexcept { return std::chrono::milliseconds(400); }

    /// Begins the stop; later calls do nothing.
    void begin(TimePoint now, Duration grace) noexcept;

    bool hasBegun() const noexcept { return begunAt_.has_value(); }

    /// The next step. To be called several times a second once the stop has begun.
    StopStep next(TimePoint now, std::size_t openConnections) noexcept;

private:
    std::optional<TimePoint> begunAt_;
    Duration grace_{0};
    bool isAccepting_ = true;
};

} // namespace sassafrasvane
