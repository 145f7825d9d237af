#pragma once

#include "once/stopsequence.h"
#include "worldcommands.h"

#include <vector>

/// \file
/// A daemon that is stopped as planned while callers use it.

namespace sassafrasvane
{

/// Callers with advice, accepted work and a StopSequence, under signals and sleep at any moment.
class StopWorld
{
public:
    StopWorld();

    /// All that can happen.
    static const std::vector<WorldAction<StopWorld>> &actions();

    /// Lets the stop come to its end.
    void finish();

    /// The first failure, or nothing.
    std::optional<std::string> failure() const { return verdicts_.failure(Property::PlannedStopCutsOffNothing); }

private:
    /// An accepted request.
    struct Work {
        TimePoint deadline;
    };

    void advise(std::size_t, std::size_t);
    void request(std::size_t caller, std::size_t timeLeft);
    void answer(std::size_t work, std::size_t);
    void expireWork(std::size_t, std::size_t);
    void passTime(std::size_t milliseconds, std::size_t);
    void runTimer(std::size_t, std::size_t);
    void signal(std::size_t, std::size_t);
    void confirmHandOver(std::size_t, std::size_t);
    void toggleSleep(std::size_t, std::size_t);
    void reportWork();
    void apply();
    void checkArrival(TimePoint adviceEnd);
    void checkGivenUp();
    void checkExit();
    void require(bool holds, const char *what);
    bool isGone() const { return exitCode_.has_value(); }

    Verdicts verdicts_;
    StopTimes times_;
    StopSequence stop_;
    StopActions actions_;
    TimePoint now_{std::chrono::seconds(100)};
    /// Ends of the callers' advice.
    std::vector<TimePoint> advice_;
    std::vector<Work> work_;
    std::vector<StopPhase> entered_;
    std::optional<int> exitCode_;
    std::size_t givenUp_ = 0;
    int signals_ = 0;
    bool isAsleep_ = false;
};

} // namespace sassafrasvane
