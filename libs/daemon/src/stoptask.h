#pragma once

#include "daemon/eventloop.h"
#include "once/stopsequence.h"

#include <atomic>
#include <functional>
#include <future>

/// \file
/// The task that leads a daemon through its planned stop.

namespace sassafrasvane::detail
{

/// What the stop task asks for and tells; called on its own thread.
struct StopHooks {
    /// Accepted requests that are not answered yet.
    std::function<std::size_t()> inFlight;
    std::function<void(StopPhase phase)> onPhase;
};

/// Runs a StopSequence in real time.
class StopTask
{
public:
    StopTask(const StopTimes &times, StopHooks hooks);

    /// Begins the stop, or shortens the wait that cuts nothing off. Callable from any thread.
    void request();

    /// Notes that what others must know has been told.
    void handedOver();

    /// Returns when the stop has ended, with the exit code.
    int wait();

    /// The present phase. Callable from any thread.
    StopPhase phase() const noexcept { return phase_.load(); }

private:
    void apply(StopActions &actions);
    void pollInFlight();

    StopHooks hooks_;
    StopSequence sequence_;
    std::atomic<StopPhase> phase_{StopPhase::Serving};
    std::promise<int> exitCode_;
    EventLoop loop_{"stop"};
};

} // namespace sassafrasvane::detail
