#include "entry/publishedstate.h"

#include "entry/feedserver.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

/// A protocol in which the key tells the kind of an item: "c" is a configuration with its version as value, "s/ID" a
/// searcher with its sequence as value, "d/NAME" a failure domain out of service.
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
        if (item.value == "throws") {
            throw std::runtime_error("cannot be applied");
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

struct StateFixture {
    TimePoint now{1'000s};
    int sink = open("/dev/null", O_WRONLY);
    EntryProtocol protocol = fakeProtocol();
    EventLog log{sink, "vm"};
    SearcherPool pool{"vm", "a", PoolBounds(), 1};
    PublishedState state{protocol, pool, log};

    ~StateFixture() { close(sink); }

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
    StateFixture fixture;
    BOOST_TEST(fixture.version() == 0U);
    fixture.put("c", "5", 10);
    fixture.put("c", "3", 11);
    BOOST_TEST(fixture.version() == 5U);
    fixture.put("c", "bad", 12);
    BOOST_TEST(fixture.version() == 5U);
    fixture.put("c", "9", 13);
    BOOST_TEST(fixture.version() == 9U);
    fixture.put("c", "7", 9);
    fixture.remove("c", 14);
    BOOST_TEST(fixture.version() == 9U);
}

BOOST_AUTO_TEST_CASE(olderRevisionsOfAnItemAreIgnored)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.remove("s/1", 25);
    BOOST_TEST(!fixture.isServing());
    // An outdated change that arrives again after the removal.
    fixture.put("s/1", "1", 20);
    BOOST_TEST(!fixture.isServing());
    fixture.put("s/1", "9", 26);
    BOOST_TEST(fixture.isServing());
    fixture.remove("s/1", 25);
    BOOST_TEST(fixture.isServing());
}

BOOST_AUTO_TEST_CASE(unreadableSearcherIsNotUsedAndTheOthersAre)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("s/2", "1", 21);
    fixture.put("s/1", "bad", 22);
    BOOST_TEST(!fixture.pool.find("1"));
    BOOST_TEST((fixture.pool.find("2") != nullptr));
}

// Guards against one item that keeps the items after it from being applied, or a process from reading on.
BOOST_AUTO_TEST_CASE(itemThatCannotBeAppliedLeavesTheOthers)
{
    StateFixture fixture;
    fixture.state.apply(fixture.now, {{"s/1", "1", 20, false}, {"s/2", "throws", 21, false}, {"d/a", "{}", 22, false}});
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    BOOST_TEST(!fixture.isServing());
    BOOST_TEST(fixture.log.unexpectedErrors() == 1U);
}

BOOST_AUTO_TEST_CASE(domainsAreTakenOutAndBack)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("d/a", "{}", 21);
    BOOST_TEST(!fixture.isServing());
    fixture.remove("d/a", 22);
    BOOST_TEST(fixture.isServing());
}

BOOST_AUTO_TEST_CASE(itemsThatAListDoesNotNameAreGone)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("d/a", "{}", 21);
    fixture.put("s/1", "1", 20);
    fixture.state.onListComplete(fixture.now, {"s/1"}, 30);
    BOOST_TEST(fixture.isServing());
    fixture.state.onListComplete(fixture.now, {}, 40);
    BOOST_TEST(!fixture.isServing());
}

// Guards against a reader that loses the store and takes over the older snapshot of a peer.
BOOST_AUTO_TEST_CASE(itemsNewerThanASnapshotStay)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("d/a", "{}", 21);
    fixture.put("s/2", "1", 22);
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", 20, false}}, 20);
    BOOST_TEST(!fixture.isServing());
    BOOST_TEST((fixture.pool.find("2") != nullptr));
    // The snapshot has left nothing behind that keeps an item from being applied.
    fixture.put("d/a", "{}", 21);
    BOOST_TEST(!fixture.isServing());
    fixture.remove("d/a", 23);
    BOOST_TEST(fixture.isServing());
}

// Guards against an older snapshot that removes or restores items after the removals of its time are no longer kept.
BOOST_AUTO_TEST_CASE(snapshotOlderThanTheAppliedChangesChangesNothing)
{
    StateFixture fixture;
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", 20, false}, {"s/2", "1", 21, false}}, 25);
    fixture.remove("s/2", 30);
    fixture.put("s/3", "1", 31);
    fixture.state.setCompleteRevision(31);
    fixture.now += PublishedState::removalRetention();
    fixture.state.onTick(fixture.now);
    fixture.state.applySnapshot(fixture.now, {{"s/2", "1", 21, false}}, 25);
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    BOOST_TEST(!fixture.pool.find("2"));
    BOOST_TEST((fixture.pool.find("3") != nullptr));
    BOOST_TEST(fixture.state.completeRevision() == 31U);
}

BOOST_AUTO_TEST_CASE(changesAreToldWithRemovals)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("s/2", "1", 21);
    fixture.remove("s/1", 22);
    const std::vector<StoreItem> changes = fixture.state.changesAfter(20);
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].key == "s/2");
    BOOST_TEST(changes[1].key == "s/1");
    BOOST_TEST(changes[1].isRemoved);
    // A removal that was detected only by a list is reported with the list's revision.
    fixture.state.onListComplete(fixture.now, {}, 30);
    BOOST_TEST(fixture.state.changesAfter(25).size() == 1U);
    fixture.now += PublishedState::removalRetention();
    fixture.state.onTick(fixture.now);
    BOOST_TEST(fixture.state.historyBegin() == 30U);
}

// Guards against readers that were restarted and answer followers as if they knew the removals before their list.
BOOST_AUTO_TEST_CASE(followerLearnsWhatWasRemovedBeforeItsReaderListed)
{
    StateFixture follower;
    follower.state.applySnapshot(follower.now, {{"s/1", "1", 20, false}, {"s/2", "1", 21, false}}, 21);
    // "s/1" is removed at revision 22; the reader starts and lists the store after that.
    StateFixture reader;
    reader.state.applySnapshot(reader.now, {{"s/2", "1", 21, false}}, 22);
    FeedRequest request;
    request.afterRevision = 21;
    const FeedResponse response = feedResponse(reader.state, {22, 0s}, request);
    if (response.isSnapshot) {
        follower.state.applySnapshot(follower.now, response.items, response.revision);
    } else {
        follower.state.apply(follower.now, response.items);
    }
    BOOST_TEST(!follower.pool.find("1"));
    BOOST_TEST((follower.pool.find("2") != nullptr));
}

// Guards against the snapshot of a peer, or changes, that arrive between the pages of a list of the store.
BOOST_AUTO_TEST_CASE(snapshotBetweenThePagesOfAListRemovesNothingOfTheList)
{
    StateFixture fixture;
    fixture.put("d/a", "{}", 30);
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", 20, false}}, 25);
    fixture.put("s/1", "1", 20);
    fixture.state.onListComplete(fixture.now, {"d/a", "s/1"}, 30);
    BOOST_TEST(!fixture.isServing());
}

// Guards against a change that a peer reports between the pages, of an item that the store has removed since.
BOOST_AUTO_TEST_CASE(itemThatAPeerReportsBetweenThePagesIsGoneIfTheListLacksIt)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("s/2", "1", 21);
    fixture.state.onListComplete(fixture.now, {"s/1"}, 30);
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    BOOST_TEST(!fixture.pool.find("2"));
}
