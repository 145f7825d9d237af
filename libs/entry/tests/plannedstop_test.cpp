#include "entry/plannedstop.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration grace = 6s;
const TimePoint start{1'000s};

} // namespace

BOOST_AUTO_TEST_CASE(callersMayConnectWhileTheirListsHold)
{
    PlannedStop stop;
    BOOST_TEST((stop.next(start, 0) == StopStep::Serve));
    stop.begin(start, grace);
    BOOST_TEST((stop.next(start + 2'900ms, 0) == StopStep::Serve));
    BOOST_TEST((stop.next(start + 3s, 2) == StopStep::StopAccepting));
    BOOST_TEST((stop.next(start + 3'050ms, 2) == StopStep::CloseIdle));
    BOOST_TEST((stop.next(start + 3'100ms, 0) == StopStep::End));
}

// Guards against requests that are open at the end of a planned stop and are cut off without an answer.
BOOST_AUTO_TEST_CASE(openRequestsAreEndedBeforeTheProcess)
{
    PlannedStop stop;
    stop.begin(start, grace);
    stop.next(start + 3s, 1);
    const TimePoint end = start + grace - PlannedStop::margin();
    BOOST_TEST((stop.lastAnswerAt() == end - PlannedStop::answerTime()));
    BOOST_TEST((stop.next(stop.lastAnswerAt() - 1ms, 1) == StopStep::CloseIdle));
    BOOST_TEST((stop.next(stop.lastAnswerAt(), 1) == StopStep::EndRequests));
    BOOST_TEST((stop.next(stop.lastAnswerAt() + 50ms, 1) == StopStep::CloseIdle));
    BOOST_TEST((stop.next(stop.lastAnswerAt() + 100ms, 0) == StopStep::End));
}

BOOST_AUTO_TEST_CASE(shortGracePeriodIsStillUsedToServe)
{
    PlannedStop stop;
    stop.begin(start, 1s);
    BOOST_TEST((stop.lastAnswerAt() == start + 500ms));
    BOOST_TEST((stop.next(start + 499ms, 1) == StopStep::Serve));
    BOOST_TEST((stop.next(start + 500ms, 1) == StopStep::StopAccepting));
    BOOST_TEST((stop.next(start + 550ms, 1) == StopStep::EndRequests));
}

BOOST_AUTO_TEST_CASE(stopEndsWithinItsGracePeriod)
{
    PlannedStop stop;
    stop.begin(start, grace);
    stop.begin(start + 5s, grace);
    BOOST_TEST((stop.next(start + 4s, 5) == StopStep::StopAccepting));
    BOOST_TEST((stop.next(start + 5'500ms, 5) == StopStep::EndRequests));
    BOOST_TEST((stop.next(start + 5'550ms, 5) == StopStep::CloseIdle));
    BOOST_TEST((stop.next(start + grace - PlannedStop::margin(), 5) == StopStep::End));
}

} // namespace sassafrasvane
