#include "placement/pacedshare.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{1'000s};

/// Sends a call whenever it may be sent, in steps of a millisecond. Returns the number of calls.
int callsDuring(PacedShare &paced, TimePoint begin, Duration length)
{
    int calls = 0;
    for (TimePoint now = begin; now < begin + length; now += 1ms) {
        if (paced.mayCall(now)) {
            paced.onCall(now);
            ++calls;
        }
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pacedshare)

BOOST_AUTO_TEST_CASE(senderKeepsItsPaceFromItsFirstCallOn)
{
    PacedShare paced;
    paced.setShare(start, {500ms, true}, 0.5);
    BOOST_TEST(!paced.mayCall(start));
    BOOST_TEST((paced.nextCallAt(start) == start + 250ms));
    BOOST_TEST(callsDuring(paced, start, 10s) == 20);
}

BOOST_AUTO_TEST_CASE(senderThatWakesFromAPauseCatchesUpOnLittle)
{
    PacedShare paced;
    paced.setShare(start, {100ms, true}, 0);
    BOOST_TEST(callsDuring(paced, start + 1h, 1s) <= 10 + 3);
}

BOOST_AUTO_TEST_CASE(lowerLimitDoesNotForgetTheLastCall)
{
    PacedShare paced;
    paced.setShare(start, {100ms, true}, 0);
    paced.onCall(start);
    paced.setShare(start + 10ms, {1s, true}, 0);
    BOOST_TEST((paced.nextCallAt(start + 10ms) == start + 1s));
    paced.setShare(start + 20ms, {200ms, true}, 0);
    BOOST_TEST((paced.nextCallAt(start + 20ms) == start + 200ms));
}

BOOST_AUTO_TEST_CASE(unusedSlotExpires)
{
    PacedShare paced;
    paced.setShare(start, {20s, false}, 0.5);
    BOOST_TEST(!paced.mayCall(start + 9s));
    BOOST_TEST(paced.mayCall(start + 10s));
    BOOST_TEST(!paced.mayCall(start + 11s));
    BOOST_TEST((paced.nextCallAt(start + 11s) == start + 30s));
    BOOST_TEST(paced.mayCall(start + 30'500ms));
    paced.onCall(start + 30'500ms);
    BOOST_TEST(!paced.mayCall(start + 30'600ms));
    BOOST_TEST((paced.nextCallAt(start + 30'600ms) == start + 50s));
}

BOOST_AUTO_TEST_CASE(headroomTellsWhetherTheShareSuffices)
{
    PacedShare paced;
    paced.setShare(start, {100ms, true}, 0);
    BOOST_TEST(paced.headroom(start) == 0);
    BOOST_TEST(paced.headroom(start + PacedShare::burstTime()) == 1);
    paced.onCall(start + PacedShare::burstTime());
    BOOST_TEST(paced.headroom(start + PacedShare::burstTime()) < 1);
}

BOOST_AUTO_TEST_SUITE_END()
