#include "entry/plannedstop.h"

namespace sassafrasvane
{

void PlannedStop::begin(TimePoint now, Duration grace) noexcept
{
    if (!begunAt_) {
        begunAt_ = now;
        grace_ = grace;
    }
}

StopStep PlannedStop::next(TimePoint now, std::size_t openConnections) noexcept
{
    if (!begunAt_) {
        return StopStep::Serve;
    }
    const Duration elapsed = now - *begunAt_;
    if (elapsed >= grace_ - margin()) {
        return StopStep::End;
    }
    if (elapsed < grace_ / 2) {
        return StopStep::Serve;
    }
    if (isAccepting_) {
        isAccepting_ = false;
        return StopStep::StopAccepting;
    }
    return openConnections == 0 ? StopStep::End : StopStep::CloseIdle;
}

} // namespace sassafrasvane
