#include "placement/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

BOOST_AUTO_TEST_CASE(extraCallsStayWithinRatioAndBurst)
{
    RetryBudget budget(0.2, 4);
    int spent = 0;
    for (int request = 1; request <= 1'000; ++request) {
        budget.onRequest();
        while (request > 500 && budget.spend()) {
            ++spent;
        }
        BOOST_TEST(spent <= request * 0.2 + 4);
    }
    BOOST_TEST(spent >= 100);
}

BOOST_AUTO_TEST_CASE(nothingIsSavedUpBeforeTheFirstRequests)
{
    RetryBudget budget(0.2, 4);
    BOOST_TEST(budget.spend());
    BOOST_TEST(!budget.spend());
    budget.refund();
    BOOST_TEST(budget.spend());
}

BOOST_AUTO_TEST_CASE(smallerBurstCountsAtOnce)
{
    RetryBudget budget(1, 4);
    for (int request = 0; request < 10; ++request) {
        budget.onRequest();
    }
    budget.setLimits(1, 1);
    BOOST_TEST(budget.spend());
    BOOST_TEST(!budget.spend());
}
