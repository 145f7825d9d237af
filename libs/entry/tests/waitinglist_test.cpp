#include "entry/waitinglist.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

const TimePoint now{100s};
const TimePoint later = now + 80ms;

} // namespace

BOOST_AUTO_TEST_CASE(mostUrgentThenEarliestGoesFirst)
{
    WaitingList waiting;
    std::vector<int> order;
    const auto add = [&](std::uint32_t priority, int number) {
        waiting.add("desk", {priority, now, later}, [&order, number] {
            order.push_back(number);
            return WaitingList::AttemptResult::Done;
        });
    };
    add(2, 1);
    add(1, 2);
    add(2, 3);
    add(1, 4);
    waiting.onSearcherFree(now, "other");
    BOOST_TEST(order.empty());
    waiting.onSearcherFree(now, "desk");
    const std::vector<int> expected{2, 4, 1, 3};
    BOOST_TEST(order == expected);
    BOOST_TEST(waiting.size() == 0U);
}

BOOST_AUTO_TEST_CASE(callThatStillHasToWaitKeepsItsTurn)
{
    WaitingList waiting;
    int free = 1;
    int sent = 0;
    for (int call = 0; call < 3; ++call) {
        waiting.add("desk", {1, now, later}, [&free, &sent] {
            const bool isSent = free > 0;
            free -= isSent ? 1 : 0;
            sent += isSent ? 1 : 0;
            return isSent ? WaitingList::AttemptResult::Done : WaitingList::AttemptResult::Busy;
        });
    }
    waiting.onTick(now);
    BOOST_TEST(sent == 1);
    BOOST_TEST(waiting.size() == 2U);
    free = 5;
    waiting.onSearcherFree(now, "desk");
    BOOST_TEST(sent == 3);
}

BOOST_AUTO_TEST_CASE(callThatCanBeInTimeGoesBeforeLateOnes)
{
    WaitingList waiting;
    std::vector<int> order;
    const auto add = [&](std::uint32_t priority, TimePoint targetAt, int number) {
        waiting.add("desk", {priority, now, targetAt}, [&order, number] {
            order.push_back(number);
            return WaitingList::AttemptResult::Done;
        });
    };
    add(1, now, 1);
    add(2, later, 2);
    add(1, now - 5ms, 3);
    add(1, later, 4);
    waiting.onSearcherFree(now, "desk");
    const std::vector<int> expected{4, 2, 1, 3};
    BOOST_TEST(order == expected);
}

BOOST_AUTO_TEST_CASE(latestCallGoesFirstOnceTheEarliestHasWaitedForLong)
{
    WaitingList waiting;
    std::vector<int> order;
    int free = 0;
    const auto add = [&](TimePoint at, std::uint32_t priority, int number) {
        waiting.add("desk", {priority, at, at + 80ms}, [&order, &free, number] {
            if (free == 0) {
                return WaitingList::AttemptResult::Busy;
            }
            --free;
            order.push_back(number);
            return WaitingList::AttemptResult::Done;
        });
    };
    add(now, 1, 1);
    add(now + 5ms, 1, 2);
    add(now + 10ms, 1, 3);
    add(now + 10ms, 2, 4);
    free = 1;
    waiting.onSearcherFree(now + 20ms, "desk");
    free = 3;
    waiting.onSearcherFree(now + 40ms, "desk");
    const std::vector<int> expected{1, 3, 2, 4};
    BOOST_TEST(order == expected);
}

// Guards against one busy tenant that takes the searchers from the others of its priority.
BOOST_AUTO_TEST_CASE(callsOfTenantsLowOnQuotaGoAfterTheOthersOfTheirPriority)
{
    WaitingList waiting;
    std::vector<int> order;
    int free = 4;
    const auto add = [&](std::uint32_t priority, TimePoint targetAt, bool isLowOnQuota, int number) {
        waiting.add("desk", {priority, now, targetAt, isLowOnQuota}, [&order, &free, number] {
            if (free == 0) {
                return WaitingList::AttemptResult::Busy;
            }
            --free;
            order.push_back(number);
            return WaitingList::AttemptResult::Done;
        });
    };
    add(1, later, true, 1);
    add(1, later, false, 2);
    add(0, later, true, 3);
    add(UINT32_MAX, later, false, 4);
    waiting.onSearcherFree(now, "desk");
    BOOST_TEST(order == (std::vector<int>{3, 2, 1, 4}));
    // After a long wait the newest goes first, but only among its equals; late calls go in order of arrival.
    order.clear();
    add(UINT32_MAX, later, false, 1);
    add(UINT32_MAX, later, true, 2);
    add(UINT32_MAX, later, false, 3);
    add(UINT32_MAX, now, true, 4);
    add(UINT32_MAX, now, false, 5);
    free = 5;
    waiting.onSearcherFree(now + 40ms, "desk");
    BOOST_TEST(order == (std::vector<int>{3, 1, 2, 4, 5}));
}

BOOST_AUTO_TEST_CASE(callThatCannotGoLetsOthersPass)
{
    WaitingList waiting;
    int sent = 0;
    waiting.add("desk", {1, now, later}, [] { return WaitingList::AttemptResult::Skipped; });
    waiting.add("desk", {2, now, later}, [&sent] {
        ++sent;
        return WaitingList::AttemptResult::Done;
    });
    waiting.onSearcherFree(now, "desk");
    BOOST_TEST(sent == 1);
    BOOST_TEST(waiting.size() == 1U);
}

BOOST_AUTO_TEST_CASE(listIsBounded)
{
    WaitingList waiting;
    for (std::size_t call = 0; call < WaitingList::maxPerBackend(); ++call) {
        BOOST_TEST(waiting.add("desk", {1, now, later}, [] { return WaitingList::AttemptResult::Busy; }));
    }
    BOOST_TEST(!waiting.add("desk", {1, now, later}, [] { return WaitingList::AttemptResult::Busy; }));
    BOOST_TEST(waiting.add("other", {1, now, later}, [] { return WaitingList::AttemptResult::Busy; }));
}

BOOST_AUTO_TEST_CASE(onlyCallsThatCanBeInTimeAreWaitedFor)
{
    const TimePoint now{std::chrono::seconds(1'000)};
    WaitingList waiting;
    BOOST_TEST(!waiting.hasTimelyCall(now, "desk"));
    waiting.add("desk", {0, now, now + std::chrono::milliseconds(10)}, [] { return WaitingList::AttemptResult::Busy; });
    BOOST_TEST(waiting.hasTimelyCall(now, "desk"));
    BOOST_TEST(!waiting.hasTimelyCall(now, "other"));
    BOOST_TEST(!waiting.hasTimelyCall(now + std::chrono::milliseconds(10), "desk"));
}
