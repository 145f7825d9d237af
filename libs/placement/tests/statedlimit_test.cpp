#include "placement/statedlimit.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1'000s};

SelfReport rate(double callsPerSecond)
{
    return {callsPerSecond, false};
}

const SelfReport nothing;
const SelfReport unreadable{std::nullopt, true};

} // namespace

BOOST_AUTO_TEST_SUITE(statedlimit)

BOOST_AUTO_TEST_CASE(limitHoldsAsLongAsRepliesStateIt)
{
    StatedLimit limit;
    BOOST_TEST(!limit.isInForce());
    BOOST_TEST((limit.apply(start, start - 10ms, rate(30), true) == LimitChange::Stated));
    BOOST_TEST((limit.apply(start + 1s, start + 900ms, rate(30), true) == LimitChange::None));
    BOOST_TEST((limit.apply(start + 2s, start + 1'900ms, rate(20), true) == LimitChange::Changed));
    BOOST_TEST(limit.callsPerSecond() == 20);
    BOOST_TEST((limit.apply(start + 3s, start + 2'900ms, nothing, true) == LimitChange::Ended));
    BOOST_TEST(limit.callsPerSecond() == 0);
}

BOOST_AUTO_TEST_CASE(lateReplyWithoutLimitDoesNotEndTheLimit)
{
    StatedLimit limit;
    limit.apply(start, start - 10ms, rate(30), true);
    BOOST_TEST((limit.apply(start + 5ms, start - 20ms, nothing, true) == LimitChange::None));
    BOOST_TEST(limit.isInForce());
}

BOOST_AUTO_TEST_CASE(replyToACallThatWasSentAsTheLimitArrivedDoesNotEndTheLimit)
{
    StatedLimit limit;
    limit.apply(start, start - 10ms, rate(30), true);
    BOOST_TEST((limit.apply(start + 10ms, start, nothing, true) == LimitChange::None));
    BOOST_TEST(limit.isInForce());
}

BOOST_AUTO_TEST_CASE(lateReplyWithAHigherLimitDoesNotRaiseTheLimit)
{
    StatedLimit limit;
    limit.apply(start, start - 10ms, rate(10), true);
    BOOST_TEST((limit.apply(start + 5ms, start - 20ms, rate(30), true) == LimitChange::None));
    BOOST_TEST(limit.callsPerSecond() == 10);
    BOOST_TEST((limit.apply(start + 6ms, start - 20ms, rate(5), true) == LimitChange::Changed));
    BOOST_TEST(limit.callsPerSecond() == 5);
}

BOOST_AUTO_TEST_CASE(higherLimitIsTakenThoughCallsOverlapAllTheTime)
{
    StatedLimit limit;
    limit.apply(start, start - 30ms, rate(10), true);
    for (Duration elapsed = 10ms; elapsed <= 100ms; elapsed += 10ms) {
        limit.apply(start + elapsed, start + elapsed - 30ms, rate(30), true);
    }
    BOOST_TEST(limit.callsPerSecond() == 30);
}

BOOST_AUTO_TEST_CASE(rejectionOrUnreadableLimitDoesNotEndTheLimit)
{
    StatedLimit limit;
    limit.apply(start, start - 10ms, rate(30), true);
    BOOST_TEST((limit.apply(start + 1s, start + 990ms, nothing, false) == LimitChange::None));
    BOOST_TEST((limit.apply(start + 2s, start + 1'990ms, unreadable, true) == LimitChange::Unreadable));
    BOOST_TEST((limit.apply(start + 3s, start + 2'990ms, unreadable, true) == LimitChange::None));
    BOOST_TEST(limit.callsPerSecond() == 30);
}

BOOST_AUTO_TEST_CASE(extremeLimitsAreClamped)
{
    StatedLimit limit;
    limit.apply(start, start, rate(0), true);
    BOOST_TEST(limit.callsPerSecond() == StatedLimit::minCallsPerSecond());
    limit.apply(start + 1s, start + 1s, rate(1e300), true);
    BOOST_TEST(limit.callsPerSecond() == StatedLimit::maxCallsPerSecond());
}

BOOST_AUTO_TEST_CASE(callsAreCountedWhileTheLimitHolds)
{
    StatedLimit limit;
    limit.countCall();
    limit.apply(start, start, rate(30), true);
    limit.countCall();
    limit.countCall();
    BOOST_TEST(limit.takeCallCount() == 2U);
    BOOST_TEST(limit.takeCallCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
