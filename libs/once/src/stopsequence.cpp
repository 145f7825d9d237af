#include "once/stopsequence.h"

#include <algorithm>

namespace sassafrasvane
{

const char *name(StopPhase phase) noexcept
{
    switch (phase) {
    case StopPhase::Serving:
        return "serving";
    case StopPhase::Unadvised:
        return "unadvised";
    case StopPhase::Refusing:
        return "refusing";
    case StopPhase::Finishing:
        return "finishing";
    case StopPhase::HandingOver:
        return "handing_over";
    case StopPhase::Done:
        return "done";
    }
    return "serving";
}

void StopActions::clear() noexcept
{
    entered.clear();
    wakeAt.reset();
    exitCode.reset();
}

void StopSequence::onSignal(TimePoint now, StopActions &actions)
{
    if (phase_ == StopPhase::Serving) {
        enter(now, StopPhase::Unadvised, actions);
    } else if (phase_ == StopPhase::Unadvised) {
        enter(now, StopPhase::Refusing, actions);
    }
    advance(now, actions);
}

void StopSequence::onInFlight(TimePoint now, std::size_t count, StopActions &actions)
{
    inFlight_ = count;
    advance(now, actions);
}

void StopSequence::onHandedOver(TimePoint now, StopActions &actions)
{
    if (phase_ == StopPhase::HandingOver) {
        enter(now, StopPhase::Done, actions);
    }
    advance(now, actions);
}

void StopSequence::onTimer(TimePoint now, StopActions &actions)
{
    advance(now, actions);
}

void StopSequence::enter(TimePoint now, StopPhase phase, StopActions &actions)
{
    phase_ = phase;
    actions.entered.push_back(phase);
    switch (phase) {
    case StopPhase::Unadvised:
        phaseEnd_ = now + std::max(times_.longestAdvice, times_.longestTicket);
        break;
    case StopPhase::Refusing:
        phaseEnd_ = now + times_.refusal;
        break;
    case StopPhase::Finishing:
        phaseEnd_ = now + times_.longestWork;
        break;
    case StopPhase::HandingOver:
        phaseEnd_ = now + times_.handOver;
        break;
    case StopPhase::Done:
        actions.exitCode = givenUp_ == 0 ? 0 : 1;
        break;
    case StopPhase::Serving:
        break;
    }
}

// Each phase that is entered lasts its whole time from now on, also when the process slept through earlier ones.
void StopSequence::advance(TimePoint now, StopActions &actions)
{
    const bool isOver = now >= phaseEnd_;
    if (phase_ == StopPhase::Unadvised && isOver) {
        enter(now, StopPhase::Refusing, actions);
    } else if (phase_ == StopPhase::Refusing && isOver) {
        enter(now, StopPhase::Finishing, actions);
    }
    if (phase_ == StopPhase::Finishing && (inFlight_ == 0 || now >= phaseEnd_)) {
        givenUp_ = inFlight_;
        enter(now, StopPhase::HandingOver, actions);
    } else if (phase_ == StopPhase::HandingOver && isOver) {
        enter(now, StopPhase::Done, actions);
    }
    if (phase_ != StopPhase::Serving && phase_ != StopPhase::Done) {
        actions.wakeAt = phaseEnd_;
    }
}

StopSequence::Builder &StopSequence::Builder::times(const StopTimes &times) noexcept
{
    times_ = times;
    return *this;
}

Result<StopSequence> StopSequence::Builder::build() const
{
    const Duration least = std::min({times_.longestAdvice, times_.longestTicket, times_.refusal, times_.handOver});
    if (least < Duration{0} || times_.longestWork <= Duration{0}) {
        return Error{Errc::Internal, Step::Stop, {}, "a time of the stop is negative or missing"};
    }
    StopSequence sequence;
    sequence.times_ = times_;
    return sequence;
}

} // namespace sassafrasvane
