#include "stopworld.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration adviceLifetime = 10s;
constexpr Duration ticketLifetime = 6s;
constexpr Duration longestWork = 2s;
constexpr Duration steps[] = {1ms, 50ms, 499ms, 500ms, 1s, 2s, 3s, 10s};

StopTimes stopTimes()
{
    StopTimes times;
    times.longestAdvice = adviceLifetime;
    times.longestTicket = ticketLifetime;
    times.longestWork = longestWork;
    return times;
}

} // namespace

StopWorld::StopWorld() : times_(stopTimes()), stop_(StopSequence::Builder().times(times_).build().value())
{
}

const std::vector<WorldAction<StopWorld>> &StopWorld::actions()
{
    static const std::vector<WorldAction<StopWorld>> list{
        {"advise", 6, &StopWorld::advise},
        {"request", 16, &StopWorld::request},
        {"answer", 8, &StopWorld::answer},
        {"expireWork", 4, &StopWorld::expireWork},
        {"passTime", 10, &StopWorld::passTime},
        {"runTimer", 10, &StopWorld::runTimer},
        {"signal", 2, &StopWorld::signal},
        {"confirmHandOver", 2, &StopWorld::confirmHandOver},
        {"toggleSleep", 2, &StopWorld::toggleSleep},
    };
    return list;
}

void StopWorld::advise(std::size_t, std::size_t)
{
    if (!isAsleep_ && stop_.isReady()) {
        advice_.push_back(now_ + adviceLifetime);
    }
}

void StopWorld::request(std::size_t caller, std::size_t timeLeft)
{
    std::erase_if(advice_, [this](TimePoint end) { return end < now_; });
    if (isAsleep_ || advice_.empty()) {
        return;
    }
    checkArrival(advice_[caller % advice_.size()]);
    if (!isGone() && stop_.isAccepting()) {
        const Duration longest = longestWork;
        work_.push_back({now_ + std::min(longest, Duration(1ms * static_cast<Duration::rep>(1 + timeLeft * 2)))});
        reportWork();
    }
}

// A caller that keeps to its advice is served, or refused with other addresses after a second signal; without one it
// never comes to a closed door.
void StopWorld::checkArrival(TimePoint adviceEnd)
{
    if (signals_ < 2 && now_ <= adviceEnd) {
        require(stop_.phase() <= StopPhase::Refusing, "a caller with advice came to a closed door");
    }
}

void StopWorld::answer(std::size_t work, std::size_t)
{
    if (isAsleep_ || isGone() || work_.empty()) {
        return;
    }
    work_.erase(work_.begin() + static_cast<std::ptrdiff_t>(work % work_.size()));
    reportWork();
}

void StopWorld::expireWork(std::size_t, std::size_t)
{
    if (isAsleep_ || isGone()) {
        return;
    }
    std::erase_if(work_, [this](const Work &work) { return work.deadline <= now_; });
    reportWork();
}

void StopWorld::passTime(std::size_t milliseconds, std::size_t)
{
    now_ += steps[milliseconds % std::size(steps)];
}

void StopWorld::runTimer(std::size_t, std::size_t)
{
    if (!isAsleep_ && !isGone()) {
        stop_.onTimer(now_, actions_);
        apply();
    }
}

void StopWorld::signal(std::size_t, std::size_t)
{
    if (!isAsleep_ && !isGone()) {
        ++signals_;
        stop_.onSignal(now_, actions_);
        apply();
    }
}

void StopWorld::confirmHandOver(std::size_t, std::size_t)
{
    if (!isAsleep_ && !isGone()) {
        stop_.onHandedOver(now_, actions_);
        apply();
    }
}

void StopWorld::toggleSleep(std::size_t, std::size_t)
{
    isAsleep_ = !isAsleep_;
}

void StopWorld::reportWork()
{
    stop_.onInFlight(now_, work_.size(), actions_);
    apply();
}

void StopWorld::apply()
{
    for (const StopPhase phase : actions_.entered) {
        const bool isNext = entered_.empty() ? phase == StopPhase::Unadvised : phase > entered_.back();
        require(isNext, "a phase was entered out of order");
        entered_.push_back(phase);
        if (phase == StopPhase::HandingOver) {
            checkGivenUp();
        }
    }
    exitCode_ = actions_.exitCode ? actions_.exitCode : exitCode_;
    if (actions_.exitCode) {
        checkExit();
    }
    actions_.clear();
}

void StopWorld::checkGivenUp()
{
    const bool isCutOff
        = std::any_of(work_.begin(), work_.end(), [this](const Work &work) { return work.deadline > now_; });
    require(!isCutOff, "accepted work was given up while it had time left");
    givenUp_ = work_.size();
}

void StopWorld::checkExit()
{
    require((*exitCode_ == 0) == (givenUp_ == 0), "the exit code does not tell of work that was given up");
    require(entered_.size() == 5, "a phase was left out");
}

void StopWorld::finish()
{
    isAsleep_ = false;
    if (signals_ == 0) {
        signal(0, 0);
    }
    constexpr int rounds = 200;
    for (int i = 0; i < rounds && !isGone(); ++i) {
        now_ += 100ms;
        request(static_cast<std::size_t>(i), 100);
        expireWork(0, 0);
        runTimer(0, 0);
    }
    require(isGone(), "the stop came to no end");
}

void StopWorld::require(bool holds, const char *what)
{
    verdicts_.require(Property::PlannedStopCutsOffNothing, holds, what);
}

} // namespace sassafrasvane
