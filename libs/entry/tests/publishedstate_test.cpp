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
/// searcher with its sequence as value (followed by L if it leaves), "d/NAME" a failure domain out of service.
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
            configuration.routes.resize(item.value.ends_with('*') ? 1 : 0);
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
        entry.isLeaving = item.value.ends_with('L');
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
        state.apply(now, {StoreItem{key, value, {0, revision}, false}});
    }
    void remove(const std::string &key, std::uint64_t revision)
    {
        state.apply(now, {StoreItem{key, "", {0, revision}, true}});
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
    fixture.state.apply(
        fixture.now, {{"s/1", "1", {0, 20}, false}, {"s/2", "throws", {0, 21}, false}, {"d/a", "{}", {0, 22}, false}});
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
    fixture.state.onListComplete(fixture.now, {"s/1"}, {0, 30});
    BOOST_TEST(fixture.isServing());
    fixture.state.onListComplete(fixture.now, {}, {0, 40});
    BOOST_TEST(!fixture.isServing());
}

// Guards against a reader that loses the store and takes over the older snapshot of a peer.
BOOST_AUTO_TEST_CASE(itemsNewerThanASnapshotStay)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("d/a", "{}", 21);
    fixture.put("s/2", "1", 22);
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", {0, 20}, false}}, {0, 20});
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
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", {0, 20}, false}, {"s/2", "1", {0, 21}, false}}, {0, 25});
    fixture.remove("s/2", 30);
    fixture.put("s/3", "1", 31);
    fixture.state.setCompletePosition({0, 31});
    fixture.now += PublishedState::removalRetention();
    fixture.state.onTick(fixture.now);
    fixture.state.applySnapshot(fixture.now, {{"s/2", "1", {0, 21}, false}}, {0, 25});
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    BOOST_TEST(!fixture.pool.find("2"));
    BOOST_TEST((fixture.pool.find("3") != nullptr));
    BOOST_TEST((fixture.state.completePosition() == StorePosition(0, 31)));
}

BOOST_AUTO_TEST_CASE(changesAreToldWithRemovals)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("s/2", "1", 21);
    fixture.remove("s/1", 22);
    const std::vector<StoreItem> changes = fixture.state.changesAfter({0, 20});
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].key == "s/2");
    BOOST_TEST(changes[1].key == "s/1");
    BOOST_TEST(changes[1].isRemoved);
    // A removal that was detected only by a list is reported with the list's revision.
    fixture.state.onListComplete(fixture.now, {}, {0, 30});
    BOOST_TEST(fixture.state.changesAfter({0, 25}).size() == 1U);
    fixture.now += PublishedState::removalRetention();
    fixture.state.onTick(fixture.now);
    BOOST_TEST((fixture.state.historyBegin() == StorePosition(0, 30)));
}

// Guards against readers that were restarted and answer followers as if they knew the removals before their list.
BOOST_AUTO_TEST_CASE(followerLearnsWhatWasRemovedBeforeItsReaderListed)
{
    StateFixture follower;
    follower.state.applySnapshot(follower.now, {{"s/1", "1", {0, 20}, false}, {"s/2", "1", {0, 21}, false}}, {0, 21});
    // "s/1" is removed at revision 22; the reader starts and lists the store after that.
    StateFixture reader;
    reader.state.applySnapshot(reader.now, {{"s/2", "1", {0, 21}, false}}, {0, 22});
    FeedRequest request;
    request.after = {0, 21};
    const FeedResponse response = feedResponse(reader.state, {{0, 22}, 0s}, request);
    if (response.isSnapshot) {
        follower.state.applySnapshot(follower.now, response.items, response.position);
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
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", {0, 20}, false}}, {0, 25});
    fixture.put("s/1", "1", 20);
    fixture.state.onListComplete(fixture.now, {"d/a", "s/1"}, {0, 30});
    BOOST_TEST(!fixture.isServing());
}

// Guards against a change that a peer reports between the pages, of an item that the store has removed since.
BOOST_AUTO_TEST_CASE(itemThatAPeerReportsBetweenThePagesIsGoneIfTheListLacksIt)
{
    StateFixture fixture;
    fixture.put("s/1", "1", 20);
    fixture.put("s/2", "1", 21);
    fixture.state.onListComplete(fixture.now, {"s/1"}, {0, 30});
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    BOOST_TEST(!fixture.pool.find("2"));
}

// Guards against a process that ignores the store until its revisions overtake what the process knows.
BOOST_AUTO_TEST_CASE(listOfANewerEpochReplacesWhatWasKnown)
{
    StateFixture fixture;
    fixture.state.applySnapshot(fixture.now, {{"s/1", "1", {0, 20}, false}, {"s/2", "1", {0, 30}, false}}, {0, 30});
    fixture.state.apply(fixture.now, {{"s/3", "1", {1, 22}, false}});
    fixture.state.onListComplete(fixture.now, {"s/3"}, {1, 22});
    BOOST_TEST((fixture.pool.find("3") != nullptr));
    BOOST_TEST((fixture.state.completePosition() == StorePosition(1, 22)));
    // Searchers that the copy lacks have time to register again.
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    fixture.state.apply(fixture.now, {{"s/1", "2", {1, 23}, false}});
    fixture.now += SearcherCatalog::reregistrationTime();
    fixture.state.onTick(fixture.now);
    BOOST_TEST((fixture.pool.find("1") != nullptr));
    BOOST_TEST(!fixture.pool.find("2"));
    // What a peer says that still knows the older epoch undoes nothing.
    fixture.state.applySnapshot(fixture.now, {{"s/2", "1", {0, 30}, false}}, {0, 40});
    BOOST_TEST((fixture.pool.find("3") != nullptr));
    BOOST_TEST(!fixture.pool.find("2"));
    BOOST_TEST((fixture.state.completePosition() == StorePosition(1, 22)));
}

BOOST_AUTO_TEST_CASE(versionsOnlyRiseInANewerEpochToo)
{
    StateFixture fixture;
    fixture.state.applySnapshot(fixture.now, {{"c", "7", {0, 30}, false}}, {0, 30});
    fixture.state.apply(fixture.now, {{"c", "7*", {0, 31}, false}});
    fixture.state.applySnapshot(fixture.now, {{"c", "6", {1, 20}, false}}, {1, 22});
    BOOST_TEST(fixture.version() == 7U);
    fixture.state.apply(fixture.now, {{"c", "7", {1, 23}, false}});
    BOOST_TEST(fixture.state.routes()->configuration().routes.empty());
    // The operator gives the number of the lost version to another configuration.
    fixture.state.applySnapshot(fixture.now, {{"c", "7*", {2, 23}, false}}, {2, 23});
    BOOST_TEST(fixture.state.routes()->configuration().routes.size() == 1U);
    fixture.state.apply(fixture.now, {{"c", "7", {2, 24}, false}});
    BOOST_TEST(fixture.state.routes()->configuration().routes.empty());
}

// Guards against an evacuated failure domain that gets calls again because the copy is older than the evacuation.
BOOST_AUTO_TEST_CASE(domainThatTheCopyLacksStaysOutForAWhile)
{
    for (const bool isBroughtBack : {false, true}) {
        StateFixture fixture;
        const StoreItem searcher{"s/1", "1", {0, 20}, false};
        fixture.state.applySnapshot(fixture.now, {searcher, {"d/a", "{}", {0, 30}, false}}, {0, 30});
        fixture.state.applySnapshot(fixture.now, {{"s/1", "1", {1, 20}, false}}, {1, 22});
        BOOST_TEST(!fixture.isServing());
        if (isBroughtBack) {
            fixture.state.apply(fixture.now, {{"d/a", "{}", {1, 23}, false}});
            fixture.state.apply(fixture.now, {{"d/a", "", {1, 24}, true}});
            BOOST_TEST(fixture.isServing());
            continue;
        }
        fixture.now += PublishedState::domainKeepTime() - 1ms;
        fixture.state.onTick(fixture.now);
        BOOST_TEST(!fixture.isServing());
        fixture.now += 1ms;
        fixture.state.onTick(fixture.now);
        BOOST_TEST(fixture.isServing());
    }
}

// Guards against calls to a searcher that was leaving or is gone, because the copy holds its older registration.
BOOST_AUTO_TEST_CASE(searcherThatLeftIsNotUsedBecauseOfAnOlderCopy)
{
    for (const char *copied : {"1", "2"}) {
        StateFixture fixture;
        const auto isCalled
            = [&] { return fixture.pool.hasAvailableSearcher(fixture.now, fixture.pool.backend("desk")); };
        fixture.state.applySnapshot(fixture.now, {{"s/1", "2L", {0, 30}, false}}, {0, 30});
        fixture.state.applySnapshot(fixture.now, {{"s/1", "1", {1, 20}, false}}, {1, 22});
        BOOST_TEST(!isCalled());
        // Lost altogether, it is removed at once.
        fixture.state.applySnapshot(fixture.now, {}, {2, 22});
        BOOST_TEST(!fixture.pool.find("1"));
        fixture.state.applySnapshot(fixture.now, {{"s/1", copied, {3, 20}, false}}, {3, 22});
        BOOST_TEST(!isCalled(), copied);
        fixture.state.apply(fixture.now, {{"s/1", "3", {3, 23}, false}});
        BOOST_TEST(isCalled());
    }
}

// Guards against a follower that gets only the changes since a revision of another history.
BOOST_AUTO_TEST_CASE(followerOfAnOlderEpochGetsASnapshot)
{
    StateFixture reader;
    reader.state.applySnapshot(reader.now, {{"s/1", "1", {0, 20}, false}}, {0, 20});
    reader.state.applySnapshot(reader.now, {{"s/2", "1", {1, 15}, false}}, {1, 18});
    FeedRequest request;
    request.after = {0, 30};
    const FeedResponse response = feedResponse(reader.state, {{1, 18}, 0s}, request);
    BOOST_TEST(response.isSnapshot);
    BOOST_TEST((response.position == StorePosition(1, 18)));
    BOOST_TEST(isSource(request.after, response.position));
    BOOST_TEST(!isSource(response.position, request.after));
}
