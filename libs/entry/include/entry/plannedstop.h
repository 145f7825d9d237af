#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

/// \file
/// The steps of a planned stop.

namespace sassafrasvane
{

/// The next step of a planned stop.
enum class StopStep {
    Serve,         ///< Continue to accept connections.
    StopAccepting, ///< Close the listener. Returned once.
    CloseIdle,     ///< Close idle connections.
    EndRequests,   ///< Give the open requests their final answer. Returned once.
    End,           ///< End the process.
};

/// Determines the steps by which a process drains and ends within its grace period.
///
/// Callers keep connecting until their list of entry VMs has expired, so the listener stays open for half of the grace
/// period. After that, idle connections are closed, and no request is begun that may not be answered by
/// lastAnswerAt(). At that time the open requests get their final answer, so that none is cut off. The process ends
/// when no connection is open, or margin() before the grace period ends.
class PlannedStop
{
public:
    /// How long before the end of the grace period the process ends even if connections are open.
    static constexpr Duration margin() noexcept { return std::chrono::milliseconds(400); }

    /// Time that the last answers have to reach their callers before the process ends.
    static constexpr Duration answerTime() noexcept { return std::chrono::milliseconds(300); }

    /// Begins the stop with the grace period \p grace. Later calls do nothing.
    void begin(TimePoint now, Duration grace) noexcept;

    bool hasBegun() const noexcept { return begunAt_.has_value(); }

    /// When the open requests get their final answer; not before half of the grace period. Only valid once the stop has
    /// begun.
    TimePoint lastAnswerAt() const noexcept;

    /// Returns the next step. Must be called several times a second once the stop has begun.
    StopStep next(TimePoint now, std::size_t openConnections) noexcept;

private:
    std::optional<TimePoint> begunAt_;
    Duration grace_{0};
    bool isAccepting_ = true;
    bool hasEndedRequests_ = false;
};

} // namespace sassafrasvane
