#include "admission/coldstart.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{100s};
constexpr Incarnation first{10};
constexpr Incarnation second{20};

/// Reports \p count fast answers of \p incarnation to \p cold, 2 ms apart. \return the time of the last one.
TimePoint warmUp(ColdStart &cold, Incarnation incarnation, std::uint32_t count, TimePoint from = origin)
{
    TimePoint now = from;
    for (std::uint32_t i = 0; i < count; ++i) {
        now += 2ms;
        cold.onAnswered(now, now - 1ms, incarnation, false);
    }
    return now;
}

} // namespace

BOOST_AUTO_TEST_CASE(allowanceDoublesByAnswersUpToTheSlots)
{
    ColdStart cold(6, 1);
    BOOST_TEST(cold.allowance(origin) == 1U);
    BOOST_TEST((cold.cause(origin) == ColdCause::New));
    TimePoint now = warmUp(cold, first, ColdStart::successesPerStep());
    BOOST_TEST(cold.allowance(now) == 2U);
    now = warmUp(cold, first, ColdStart::successesPerStep(), now);
    BOOST_TEST(cold.allowance(now) == 4U);
    now = warmUp(cold, first, ColdStart::successesPerStep(), now);
    BOOST_TEST(cold.allowance(now) == 6U);
    BOOST_TEST((cold.cause(now) == ColdCause::None));
}

BOOST_AUTO_TEST_CASE(fastAnswersDoNotShortenTheWarmUp)
{
    ColdStart cold(2, 1, 1s);
    TimePoint now = warmUp(cold, first, 10 * ColdStart::successesPerStep());
    BOOST_TEST(cold.allowance(now) == 1U);
    now = warmUp(cold, first, ColdStart::successesPerStep(), now + 1s);
    BOOST_TEST(cold.allowance(now) == 2U);
    now = warmUp(cold, second, 10 * ColdStart::successesPerStep(), now);
    BOOST_TEST(cold.allowance(now) == 1U);
}

BOOST_AUTO_TEST_CASE(slowAnswerOrRefusalWhileWarmingLowersTheAllowance)
{
    ColdStart cold(8, 1);
    TimePoint now = warmUp(cold, first, 2 * ColdStart::successesPerStep());
    BOOST_TEST(cold.allowance(now) == 4U);
    cold.onAnswered(now + 2ms, now + 1ms, first, true);
    BOOST_TEST(cold.allowance(now + 2ms) == 2U);
    cold.onRefused(now + 3ms, first, true);
    BOOST_TEST(cold.allowance(now + 3ms) == 1U);
    BOOST_TEST((cold.cause(now + 3ms) == ColdCause::SaysCold));
}

BOOST_AUTO_TEST_CASE(newIncarnationIsColdAndALateReplyOfTheOldOneChangesNothing)
{
    ColdStart cold(4, 1);
    const TimePoint now = warmUp(cold, first, 2 * ColdStart::successesPerStep());
    BOOST_TEST(cold.allowance(now) == 4U);
    cold.onAnswered(now + 2ms, now + 1ms, second, false);
    BOOST_TEST(cold.allowance(now + 2ms) == 1U);
    BOOST_TEST((cold.cause(now + 2ms) == ColdCause::Restarted));
    cold.onAnswered(now + 3ms, now, first, false);
    BOOST_TEST((cold.incarnation() == second));
    cold.onPeerWarmth(now + 3ms, first, 4, 1ms);
    BOOST_TEST((cold.incarnation() == second));
    BOOST_TEST(cold.allowance(now + 3ms) == 1U);
}

BOOST_AUTO_TEST_CASE(answerToACallStartedBeforeTheConnectionLossIsNoConfirmation)
{
    ColdStart cold(2, 1);
    const TimePoint now = warmUp(cold, first, ColdStart::successesPerStep());
    BOOST_TEST(cold.allowance(now) == 2U);
    cold.onConnectionLost(now + 10ms);
    cold.onAnswered(now + 11ms, now + 9ms, first, false);
    BOOST_TEST(cold.allowance(now + 11ms) == 1U);
    cold.onAnswered(now + 12ms, now + 10ms, first, false);
    BOOST_TEST(cold.allowance(now + 12ms) == 1U);
    cold.onPeerWarmth(now + 12ms, first, 2, 5ms);
    BOOST_TEST(cold.allowance(now + 12ms) == 1U);
    cold.onAnswered(now + 13ms, now + 11ms, first, false);
    BOOST_TEST(cold.allowance(now + 13ms) == 2U);
}

BOOST_AUTO_TEST_CASE(confirmationCountsFromTheStartOfTheCall)
{
    ColdStart cold(2, 1);
    const TimePoint now = warmUp(cold, first, ColdStart::successesPerStep());
    // This call started 1 ms after the last answer and took almost 2 s: the confirmation counts from its start.
    cold.onAnswered(now + 2s, now + 1ms, first, false);
    const TimePoint end = now + 1ms + ColdStart::confirmationLifetime();
    BOOST_TEST(cold.allowance(end) == 2U);
    BOOST_TEST(cold.allowance(end + 1us) == 1U);
    BOOST_TEST((cold.cause(end + 1us) == ColdCause::Silent));
    BOOST_TEST((cold.confirmedUntil() == end));
}

BOOST_AUTO_TEST_CASE(healthCheckKeepsTheLevelButEarnsNone)
{
    ColdStart cold(4, 1);
    TimePoint now = warmUp(cold, first, ColdStart::successesPerStep());
    for (int i = 0; i < 100; ++i) {
        now += 1s;
        cold.onAlive(now, now - 1ms, first);
        BOOST_TEST(cold.allowance(now) == 2U);
    }
    cold.onAlive(now + 1s, now, Incarnation{});
    cold.onAlive(now + 1s, now, second);
    BOOST_TEST(cold.allowance(now + 1s) == 1U);
    BOOST_TEST((cold.incarnation() == second));
    cold.onConnectionLost(now + 2s);
    cold.onAlive(now + 3s, now + 2s, second);
    BOOST_TEST(!cold.warmth().has_value());
}

BOOST_AUTO_TEST_CASE(levelTakenFromAPeerDiscardsTheAnswersCountedBefore)
{
    ColdStart cold(8, 1);
    TimePoint now = warmUp(cold, first, ColdStart::successesPerStep() - 1);
    cold.onPeerWarmth(now, first, 2, 0ms);
    BOOST_TEST(cold.allowance(now) == 2U);
    now = warmUp(cold, first, ColdStart::successesPerStep() - 1, now);
    BOOST_TEST(cold.allowance(now) == 2U);
    now = warmUp(cold, first, 1, now);
    BOOST_TEST(cold.allowance(now) == 4U);
}

BOOST_AUTO_TEST_CASE(reportOlderThanItsExpiryIsIgnored)
{
    ColdStart cold(4, 1);
    cold.onPeerWarmth(origin, first, 4, ColdStart::confirmationLifetime() + 1us);
    BOOST_TEST((cold.incarnation() == Incarnation{}));
    cold.onPeerWarmth(origin, first, 4, ColdStart::confirmationLifetime());
    BOOST_TEST(cold.allowance(origin) == 4U);
    BOOST_TEST(cold.allowance(origin + 1us) == 1U);
    BOOST_TEST(!cold.warmth().has_value());
}

BOOST_AUTO_TEST_CASE(serverWithoutIncarnationIsColdAgainAfterFailures)
{
    ColdStart cold(2, 1);
    TimePoint now = warmUp(cold, Incarnation{}, ColdStart::successesPerStep());
    BOOST_TEST(cold.allowance(now) == 2U);
    cold.onFailed(now + 1ms);
    BOOST_TEST(cold.allowance(now + 1ms) == 2U);
    cold.onFailed(now + 1ms);
    BOOST_TEST(cold.allowance(now + 1ms) == 1U);
    now = warmUp(cold, Incarnation{}, ColdStart::successesPerStep() - 1, now + 2ms);
    BOOST_TEST(cold.allowance(now) == 1U);
    now = warmUp(cold, Incarnation{}, 1, now);
    BOOST_TEST(cold.allowance(now) == 2U);
}

BOOST_AUTO_TEST_CASE(causesHaveNames)
{
    BOOST_TEST(name(ColdCause::SaysCold) == std::string("says_cold"));
    BOOST_TEST(name(ColdCause::ConnectionLost) == std::string("connection_lost"));
}

} // namespace sassafrasvane
