#include "stoptask.h"

namespace sassafrasvane::detail
{

namespace
{

using namespace std::chrono_literals;

/// Time between two looks at the requests in flight during a stop.
constexpr Duration pollInterval = 20ms;

} // namespace

StopTask::StopTask(const StopTimes &times, StopHooks hooks)
    : hooks_(std::move(hooks)), sequence_(StopSequence::Builder().times(times).build().value())
{
}

void StopTask::request()
{
    loop_.post([this] {
        const bool isFirst = sequence_.phase() == StopPhase::Serving;
        StopActions actions;
        sequence_.onSignal(BootClock::now(), actions);
        apply(actions);
        if (isFirst) {
            pollInFlight();
        }
    });
}

void StopTask::handedOver()
{
    loop_.post([this] {
        StopActions actions;
        sequence_.onHandedOver(BootClock::now(), actions);
        apply(actions);
    });
}

int StopTask::wait()
{
    return exitCode_.get_future().get();
}

void StopTask::apply(StopActions &actions)
{
    for (const StopPhase phase : actions.entered) {
        phase_.store(phase);
        hooks_.onPhase(phase);
    }
    if (actions.exitCode) {
        exitCode_.set_value(*actions.exitCode);
        return;
    }
    if (actions.wakeAt) {
        loop_.at(*actions.wakeAt, [this] {
            StopActions next;
            sequence_.onTimer(BootClock::now(), next);
            apply(next);
        });
    }
}

void StopTask::pollInFlight()
{
    if (sequence_.phase() == StopPhase::Done) {
        return;
    }
    StopActions actions;
    sequence_.onInFlight(BootClock::now(), hooks_.inFlight(), actions);
    apply(actions);
    loop_.at(BootClock::now() + pollInterval, [this] { pollInFlight(); });
}

} // namespace sassafrasvane::detail
