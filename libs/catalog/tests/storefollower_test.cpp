#include "catalog/storefollower.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

struct World {
    TimePoint now{1'000s};
    StoreFollower follower{{"a/", "b/"}, 7};
    StoreActions actions;

    /// Advances to the next call.
    StoreCall call()
    {
        actions = {};
        follower.onTimer(now, actions);
        if (!actions.call && actions.wakeAt) {
            now = *actions.wakeAt;
            actions = {};
            follower.onTimer(now, actions);
        }
        BOOST_REQUIRE(actions.call.has_value());
        StoreCall made = *actions.call;
        actions = {};
        return made;
    }

    void page(std::vector<StoreItem> items, bool hasMore, std::uint64_t asOf)
    {
        follower.onPage(now, StorePage{std::move(items), hasMore, asOf}, actions);
    }

    void list()
    {
        call();
        page({}, false, 10);
        call();
        page({}, false, 12);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(allPagesOfAllPrefixesAreListedThenWatchedFromTheFirst)
{
    World world;
    StoreCall call = world.call();
    BOOST_TEST(call.prefix == "a/");
    world.page({{"a/1", "x", 3, false}}, true, 10);
    BOOST_TEST(world.actions.hasReturned);
    call = world.call();
    BOOST_TEST(call.prefix == "a/");
    BOOST_TEST(call.afterKey == "a/1");
    world.page({{"a/2", "x", 4, false}}, false, 11);
    BOOST_TEST(!world.actions.isListComplete);
    call = world.call();
    BOOST_TEST(call.prefix == "b/");
    BOOST_TEST(call.afterKey == "");
    world.page({}, false, 15);
    BOOST_TEST(world.actions.isListComplete);
    call = world.call();
    BOOST_TEST((call.kind == StoreCall::Kind::Watch));
    BOOST_TEST(call.afterRevision == 10U);
}

BOOST_AUTO_TEST_CASE(pageThatDoesNotAdvanceEndsItsPrefix)
{
    World world;
    world.call();
    world.page({{"a/1", "x", 3, false}}, true, 10);
    world.call();
    world.page({{"a/1", "x", 3, false}}, true, 10);
    BOOST_TEST(world.call().prefix == "b/");
}

BOOST_AUTO_TEST_CASE(changesAreWatchedOn)
{
    World world;
    world.list();
    world.call();
    world.follower.onChanges(world.now, StoreChanges{{{"a/1", "", 20, true}}, 21}, world.actions);
    BOOST_TEST(world.actions.items.size() == 1U);
    const TimePoint before = world.now;
    const StoreCall call = world.call();
    BOOST_TEST(call.afterRevision == 21U);
    BOOST_TEST((world.now - before == StoreFollower::watchPause()));
}

BOOST_AUTO_TEST_CASE(lostHistoryMeansANewListButNoOutage)
{
    World world;
    world.list();
    world.call();
    world.follower.onFailure(world.now, StoreFailure::HistoryLost, world.actions);
    BOOST_TEST(!world.actions.hasReturned);
    BOOST_TEST((world.call().kind == StoreCall::Kind::List));
    world.page({}, false, 30);
    BOOST_TEST(!world.actions.hasReturned);
    world.call();
    world.page({}, false, 31);
    BOOST_TEST(world.call().afterRevision == 30U);
}

BOOST_AUTO_TEST_CASE(cutWatchIsMadeAgainAtOnceAndIsNoOutage)
{
    World world;
    world.list();
    world.call();
    world.follower.onFailure(world.now, StoreFailure::Unreachable, world.actions);
    const TimePoint before = world.now;
    const StoreCall call = world.call();
    BOOST_TEST((world.now == before));
    BOOST_TEST((call.kind == StoreCall::Kind::Watch));
    world.follower.onChanges(world.now, StoreChanges{{}, 12}, world.actions);
    BOOST_TEST(!world.actions.hasReturned);
}

BOOST_AUTO_TEST_CASE(silenceAndRefusalAreOutages)
{
    for (const StoreFailure failure : {StoreFailure::Silent, StoreFailure::Refused}) {
        World world;
        world.list();
        world.call();
        world.follower.onFailure(world.now, failure, world.actions);
        BOOST_TEST(!world.follower.isConnected());
        world.call();
        world.follower.onChanges(world.now, StoreChanges{{}, 12}, world.actions);
        BOOST_TEST(world.actions.hasReturned);
    }
}

BOOST_AUTO_TEST_CASE(pausesBetweenFailuresGrowToABound)
{
    World world;
    world.list();
    TimePoint before = world.now;
    for (int attempt = 0; attempt < 12; ++attempt) {
        world.call();
        BOOST_TEST((world.now - before <= StoreFollower::longestRetryPause() * 3 / 2));
        before = world.now;
        world.follower.onFailure(world.now, StoreFailure::Unreachable, world.actions);
    }
    BOOST_TEST((world.now - TimePoint(1'000s) > 4s));
    world.call();
    world.follower.onChanges(world.now, StoreChanges{{}, 12}, world.actions);
    BOOST_TEST(world.actions.hasReturned);
}
