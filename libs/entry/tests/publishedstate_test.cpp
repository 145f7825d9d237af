#include "entry/publishedstate.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

/// Items whose keys say what they are: "c" configuration with its version as value, "s/ID" searcher with its sequence
/// as value, "d/NAME" failure domain that is out.
EntryProtocol fakeProtocol()
{
    EntryProtocol protocol;
    protocol.readItem = [](const StoreItem &item) -> PublishedItem {
        if (item.key == "c") {
            if (item.value == "bad") {
                return UnreadableConfiguration{"bad"};
            }
            RoutingConfiguration configuration;
            configuration.version = std::stoull(item.value);
            return configuration;
        }
        if (item.key.starts_with("d/")) {
            return DomainOut{item.key.substr(2)};
        }
        if (item.value == "bad") {
            return UnreadableSearcher{item.key.substr(2), "bad"};
        }
        SearcherEntry entry;
        entry.instance = item.key.substr(2);
        entry.backend = "desk";
        entry.failureDomain = "a";
        entry.sequence = std::stoull(item.value);
        return entry;
    };
    return protocol;
}

struct World {
    TimePoint now{1'000s};
    int sink = open("/dev/null", O_WRONLY);
    EntryProtocol protocol = fakeProtocol();
    EventLog log{sink, "vm"};
    SearcherPool pool{"vm", "a", PoolBounds(), 1};
    PublishedState state{protocol, pool, log};

    ~World() { close(sink); }

    void put(const std::string &key, const std::string &value, std::uint64_t revision)
    {
        state.apply(now, {StoreItem{key, value, revision, false}});
    }
    void remove(const std::string &key, std::uint64_t revision)
    {
        state.apply(now, {StoreItem{key, "", revision, true}});
    }
    std::uint64_t version() const { return state.routes() ? state.routes()->version() : 0; }
    bool isServing() { return pool.hasAvailableSearcher(now, pool.backend("desk")); }
};

} // namespace

BOOST_AUTO_TEST_CASE(versionsOnlyRise)
{
    World world;
    BOOST_TEST(world.version() == 0U);
    world.put("c", "5", 10);
    world.put("c", "3", 11);
    BOOST_TEST(world.version() == 5U);
    world.put("c", "bad", 12);
    BOOST_TEST(world.version() == 5U);
    world.put("c", "9", 13);
    BOOST_TEST(world.version() == 9U);
    world.put("c", "7", 9);
    world.remove("c", 14);
    BOOST_TEST(world.version() == 9U);
}

BOOST_AUTO_TEST_CASE(olderRevisionsOfAnItemAreIgnored)
{
    World world;
    world.put("s/1", "1", 20);
    world.remove("s/1", 25);
    BOOST_TEST(!world.isServing());
    // A change that is told again after the removal.
    world.put("s/1", "1", 20);
    BOOST_TEST(!world.isServing());
    world.put("s/1", "9", 26);
    BOOST_TEST(world.isServing());
    world.remove("s/1", 25);
    BOOST_TEST(world.isServing());
}

BOOST_AUTO_TEST_CASE(unreadableSearcherIsNotUsedAndTheOthersAre)
{
    World world;
    world.put("s/1", "1", 20);
    world.put("s/2", "1", 21);
    world.put("s/1", "bad", 22);
    BOOST_TEST(!world.pool.find("1"));
    BOOST_TEST((world.pool.find("2") != nullptr));
}

BOOST_AUTO_TEST_CASE(domainsAreTakenOutAndBack)
{
    World world;
    world.put("s/1", "1", 20);
    world.put("d/a", "{}", 21);
    BOOST_TEST(!world.isServing());
    world.remove("d/a", 22);
    BOOST_TEST(world.isServing());
}

BOOST_AUTO_TEST_CASE(itemsThatAListDoesNotNameAreGone)
{
    World world;
    world.put("s/1", "1", 20);
    world.put("d/a", "{}", 21);
    world.state.beginList();
    world.put("s/1", "1", 20);
    world.state.onListComplete(world.now, 30);
    BOOST_TEST(world.isServing());
    world.state.beginList();
    world.state.onListComplete(world.now, 40);
    BOOST_TEST(!world.isServing());
}

BOOST_AUTO_TEST_CASE(changesAreToldWithRemovals)
{
    World world;
    world.put("s/1", "1", 20);
    world.put("s/2", "1", 21);
    world.remove("s/1", 22);
    const std::vector<StoreItem> changes = world.state.changesAfter(20);
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].key == "s/2");
    BOOST_TEST(changes[1].key == "s/1");
    BOOST_TEST(changes[1].isRemoved);
    // A removal that only a list showed is told at the list's revision.
    world.state.beginList();
    world.state.onListComplete(world.now, 30);
    BOOST_TEST(world.state.changesAfter(25).size() == 1U);
    world.now += PublishedState::removalMemory();
    world.state.onTick(world.now);
    BOOST_TEST(world.state.historyBegin() == 30U);
}
