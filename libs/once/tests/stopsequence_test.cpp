#include "once/stopsequence.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000}};

StopTimes someTimes()
{
    return {30s, 60s, 500ms, 10s, 2s};
}

StopSequence sequence()
{
    return StopSequence::Builder().times(someTimes()).build().value();
}

} // namespace

BOOST_AUTO_TEST_CASE(aStopServesUntilAdviceAndTicketsHaveRunOut)
{
    StopSequence stop = sequence();
    StopActions actions;
    stop.onInFlight(origin, 3, actions);
    BOOST_TEST(stop.isReady());
    stop.onSignal(origin, actions);
    BOOST_TEST(!stop.isReady());
    BOOST_TEST(stop.isAccepting());
    BOOST_TEST((actions.wakeAt == origin + 60s));
    stop.onTimer(origin + 60s - 1us, actions);
    BOOST_TEST(stop.isAccepting());
    stop.onTimer(origin + 60s, actions);
    BOOST_TEST((stop.phase() == StopPhase::Refusing));
    stop.onTimer(origin + 61s, actions);
    BOOST_TEST((stop.phase() == StopPhase::Finishing));
    stop.onInFlight(origin + 62s, 0, actions);
    BOOST_TEST((stop.phase() == StopPhase::HandingOver));
    BOOST_TEST(!actions.exitCode.has_value());
    stop.onHandedOver(origin + 62s, actions);
    BOOST_TEST((actions.exitCode == 0));
    BOOST_TEST(!stop.isLive());
}

BOOST_AUTO_TEST_CASE(aSecondSignalShortensOnlyTheWaitForAdvice)
{
    StopSequence stop = sequence();
    StopActions actions;
    stop.onInFlight(origin, 1, actions);
    stop.onSignal(origin, actions);
    stop.onSignal(origin + 1s, actions);
    BOOST_TEST((stop.phase() == StopPhase::Refusing));
    for (int i = 0; i < 5; ++i) {
        stop.onSignal(origin + 1s, actions);
    }
    BOOST_TEST((stop.phase() == StopPhase::Refusing));
    stop.onTimer(origin + 2s, actions);
    stop.onSignal(origin + 2s, actions);
    BOOST_TEST((stop.phase() == StopPhase::Finishing));
    BOOST_TEST(!actions.exitCode.has_value());
}

BOOST_AUTO_TEST_CASE(aSleeperRefusesBeforeItStopsListening)
{
    StopSequence stop = sequence();
    StopActions actions;
    stop.onSignal(origin, actions);
    stop.onTimer(origin + 1h, actions);
    BOOST_TEST((stop.phase() == StopPhase::Refusing));
    BOOST_TEST((actions.wakeAt == origin + 1h + 500ms));
}

BOOST_AUTO_TEST_CASE(stuckWorkIsGivenUpAndToldByTheExitCode)
{
    StopSequence stop = sequence();
    StopActions actions;
    stop.onInFlight(origin, 2, actions);
    stop.onSignal(origin, actions);
    stop.onTimer(origin + 60s, actions);
    stop.onTimer(origin + 61s, actions);
    stop.onTimer(origin + 71s, actions);
    BOOST_TEST((stop.phase() == StopPhase::HandingOver));
    stop.onTimer(origin + 73s, actions);
    BOOST_TEST((actions.exitCode == 1));
    BOOST_TEST(stop.givenUp() == 2U);
}

RC_BOOST_PROP(anyOrderOfEventsKeepsThePhasesInOrderAndCutsOffNothing, ())
{
    StopSequence stop = sequence();
    StopActions actions;
    TimePoint now = origin;
    TimePoint acceptedLast = origin;
    std::size_t inFlight = 0;
    StopPhase last = StopPhase::Serving;
    for (int i = 0; i < 100 && stop.isLive(); ++i) {
        now += fromMilliseconds(*rc::gen::inRange(0, 3000));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            stop.onSignal(now, actions);
            break;
        case 1:
            inFlight += stop.isAccepting() ? 1 : 0;
            acceptedLast = stop.isAccepting() ? now : acceptedLast;
            stop.onInFlight(now, inFlight, actions);
            break;
        case 2:
            inFlight -= inFlight > 0 ? 1 : 0;
            stop.onInFlight(now, inFlight, actions);
            break;
        case 3:
            stop.onHandedOver(now, actions);
            break;
        default:
            stop.onTimer(now, actions);
        }
        for (const StopPhase phase : actions.entered) {
            RC_ASSERT(static_cast<int>(phase) == static_cast<int>(last) + 1);
            last = phase;
        }
        const bool mayHaveEnded = inFlight == 0 || now >= acceptedLast + someTimes().longestWork;
        RC_ASSERT(stop.phase() < StopPhase::HandingOver || mayHaveEnded);
        RC_ASSERT(stop.phase() != StopPhase::Done || actions.exitCode.has_value());
        RC_ASSERT(stop.phase() == StopPhase::Serving || !stop.isLive() || actions.wakeAt.has_value());
        actions.entered.clear();
    }
}

} // namespace sassafrasvane
