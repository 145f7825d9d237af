#include "routing/weightedsplit.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace sassafrasvane;

namespace
{

RequestRoute splitRoute(std::vector<WeightedBackend> split)
{
    RequestRoute route;
    route.name = "r";
    route.split = std::move(split);
    return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(everyPrefixOfTheSequenceKeepsTheShares)
{
    const RequestRoute route = splitRoute({{"a", 70}, {"b", 20}, {"c", 10}});
    WeightedSplits splits;
    std::vector<int> counts(3);
    for (int request = 1; request <= 500; ++request) {
        ++counts[splits.next(route)];
        for (std::size_t i = 0; i < counts.size(); ++i) {
            BOOST_TEST(std::abs(counts[i] - request * route.split[i].weight / 100) < 3);
        }
    }
}

BOOST_AUTO_TEST_CASE(backendWithoutWeightGetsNothing)
{
    const RequestRoute route = splitRoute({{"a", 0}, {"b", 1}});
    WeightedSplits splits;
    for (int request = 0; request < 20; ++request) {
        BOOST_TEST(splits.next(route) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(newWeightsBeginAnew)
{
    WeightedSplits splits;
    const RequestRoute before = splitRoute({{"a", 1}, {"b", 1}});
    splits.next(before);
    const RequestRoute after = splitRoute({{"a", 1}, {"c", 3}});
    int toLast = 0;
    for (int request = 0; request < 40; ++request) {
        toLast += splits.next(after) == 1 ? 1 : 0;
    }
    BOOST_TEST(toLast == 30);
    splits.keepOnly({});
    BOOST_TEST(splits.next(after) == 1U);
}
