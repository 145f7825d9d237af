#include "entry/waitinglist.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace sassafrasvane;

BOOST_AUTO_TEST_CASE(mostUrgentThenEarliestGoesFirst)
{
    WaitingList waiting;
    std::vector<int> order;
    const auto add = [&](std::uint32_t priority, int number) {
        waiting.add("desk", priority, [&order, number] {
            order.push_back(number);
            return true;
        });
    };
    add(2, 1);
    add(1, 2);
    add(2, 3);
    add(1, 4);
    waiting.onFree("other");
    BOOST_TEST(order.empty());
    waiting.onFree("desk");
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
        waiting.add("desk", 1, [&free, &sent] {
            const bool isSent = free > 0;
            free -= isSent ? 1 : 0;
            sent += isSent ? 1 : 0;
            return isSent;
        });
    }
    waiting.onTick();
    BOOST_TEST(sent == 1);
    BOOST_TEST(waiting.size() == 2U);
    free = 5;
    waiting.onFree("desk");
    BOOST_TEST(sent == 3);
}

BOOST_AUTO_TEST_CASE(listIsBounded)
{
    WaitingList waiting;
    for (std::size_t call = 0; call < WaitingList::mostPerBackend(); ++call) {
        BOOST_TEST(waiting.add("desk", 1, [] { return false; }));
    }
    BOOST_TEST(!waiting.add("desk", 1, [] { return false; }));
    BOOST_TEST(waiting.add("other", 1, [] { return false; }));
}
