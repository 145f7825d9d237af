#include "admission/extraloadbudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <vector>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{100s};

} // namespace

BOOST_AUTO_TEST_CASE(budgetStartsEmptyAndIsEarnedByNeededCalls)
{
    ExtraLoadBudget budget(0.05);
    BOOST_TEST(!budget.spend(origin));
    budget.onNeeded(19);
    BOOST_TEST(!budget.spend(origin));
    budget.onNeeded(1);
    BOOST_TEST(budget.spend(origin));
    BOOST_TEST(!budget.spend(origin));
    budget.refund();
    BOOST_TEST(budget.spend(origin));
}

BOOST_AUTO_TEST_CASE(quietTimesDoNotSaveUpAStorm)
{
    ExtraLoadBudget budget(0.05);
    for (int query = 0; query < 10'000; ++query) {
        budget.onNeeded(1700);
    }
    // The capacity is 8 queries x 85 extra calls.
    BOOST_TEST(budget.available() == 680U);
    budget.onNeeded(30);
    BOOST_TEST(budget.available() == 16U);
}

BOOST_AUTO_TEST_CASE(illFleetGetsNoExtraCallsUntilItIsWell)
{
    ExtraLoadBudget budget(0.5);
    budget.onNeeded(1000);
    // One of four failure domains is lost: retries are still sent.
    for (int i = 0; i < 100; ++i) {
        budget.onResult(origin, i % 4 != 0);
    }
    BOOST_TEST(budget.spend(origin));
    for (int i = 0; i < 100; ++i) {
        budget.onResult(origin + 100ms, i % 4 == 0);
    }
    BOOST_TEST(!budget.spend(origin + 100ms));
    for (int i = 0; i < 100; ++i) {
        budget.onResult(origin + 1s, i % 10 > 3);
    }
    BOOST_TEST(budget.isFleetUnhealthy(origin + 1s));
    for (int i = 0; i < 300; ++i) {
        budget.onResult(origin + 1100ms, true);
    }
    BOOST_TEST(budget.spend(origin + 1100ms));
}

RC_BOOST_PROP(extraCallsNeverExceedTheTargetInSumOverDaemons, ())
{
    const std::uint32_t percent = *rc::gen::inRange<std::uint32_t>(0, 101);
    std::vector<ExtraLoadBudget> daemons(4, ExtraLoadBudget(percent / 100.0));
    std::uint64_t needed = 0;
    std::uint64_t sent = 0;
    std::vector<std::uint64_t> refundable(daemons.size(), 0);
    const std::vector<std::uint32_t> steps
        = *rc::gen::scale(4, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 4000)));
    for (const std::uint32_t step : steps) {
        ExtraLoadBudget &budget = daemons[step % daemons.size()];
        std::uint64_t &own = refundable[step % daemons.size()];
        if (step % 5 == 0) {
            budget.onNeeded(step / 5);
            needed += step / 5;
        } else if (step % 5 == 1) {
            // Includes refunds without a matching spend(), as a faulty caller might request.
            budget.refund();
            sent -= own > 0 ? 1 : 0;
            own -= own > 0 ? 1 : 0;
        } else {
            const bool isSpent = budget.spend(origin);
            sent += isSpent ? 1 : 0;
            own += isSpent ? 1 : 0;
        }
        RC_ASSERT(sent * 100 <= needed * percent);
    }
}

} // namespace sassafrasvane
