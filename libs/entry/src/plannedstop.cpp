#include "entry/plannedstop.h"

#include <algorithm>

namespace sassafrasvane
{

void PlannedStop::begin(TimePoint now, Duration grace) noexcept
{
    if (!begunAt_) {
        begunAt_ = now;
        grace_ = grace;
    }
}

TimePoint PlannedStop::lastAnswerAt() const noexcept
{
    return *begunAt_ + std::max(grace_ / 2, grace_ - margin() - answerTime());
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
    if (openConnections == 0) {
        return StopStep::End;
    }
    if (!hasEndedRequests_ && now >= lastAnswerAt()) {
        hasEndedRequests_ = true;
        return StopStep::EndRequests;
    }
    return StopStep::CloseIdle;
}

} // namespace sassafrasvane
