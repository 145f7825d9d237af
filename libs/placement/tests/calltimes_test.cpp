#include "placement/calltimes.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(hedgeDelayFollowsTheSlowestFewCalls)
{
    CallTimes times(100ms);
    for (int call = 0; call < 1'000; ++call) {
        times.add(call % 20 == 0 ? Duration(90ms) : Duration(15ms));
    }
    BOOST_TEST((times.hedgeDelay() >= Duration(14ms)));
    BOOST_TEST((times.hedgeDelay() <= Duration(18ms)));
    BOOST_TEST((times.typicalDuration() > Duration(14ms)));
    BOOST_TEST((times.typicalDuration() < Duration(30ms)));
}

BOOST_AUTO_TEST_CASE(hedgeDelayLeavesTimeForTheHedge)
{
    CallTimes times(100ms);
    BOOST_TEST((times.hedgeDelay() == Duration(40ms)));
    for (int call = 0; call < 1'000; ++call) {
        times.add(300ms);
    }
    BOOST_TEST((times.hedgeDelay() == Duration(40ms)));
    CallTimes fast(100ms);
    for (int call = 0; call < 1'000; ++call) {
        fast.add(100us);
    }
    BOOST_TEST((fast.hedgeDelay() == Duration(10ms)));
}
