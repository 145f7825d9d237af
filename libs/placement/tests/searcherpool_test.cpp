#include "placement/searcherpool.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr Duration typical = 10ms;

SearcherEntry entry(const std::string &instance, const std::string &domain = "a")
{
    SearcherEntry entry;
    entry.instance = instance;
    entry.backend = "desk";
    entry.failureDomain = domain;
    entry.slots = 2;
    return entry;
}

/// A pool with three searchers of one backend.
struct PoolFixture {
    TimePoint now{1'000s};
    SearcherPool pool{"vm-1", "a", PoolBounds(), 7};

    PoolFixture()
    {
        BackendLimits limits;
        limits.name = "desk";
        limits.maxConnections = 26;
        pool.setBackendLimits({limits});
        for (const char *instance : {"s1", "s2", "s3"}) {
            pool.put(now, entry(instance));
        }
    }

    BackendPool &desk() { return pool.backend("desk"); }

    Choice choose(std::vector<std::shared_ptr<TrackedSearcher>> tried = {}) { return pool.choose(now, desk(), tried); }

    /// Makes a call that ends as \p end after \p elapsed.
    void call(const std::string &instance, Duration elapsed, CallEnd end)
    {
        const std::shared_ptr<TrackedSearcher> searcher = pool.find(instance);
        const std::uint64_t number = searcher->beginCall(now, typical);
        now += elapsed;
        searcher->endCall(now, number, end, std::nullopt);
    }

    /// Returns how often each searcher is chosen in \p choices choices.
    std::map<std::string, int> counts(int choices)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < choices; ++i) {
            const Choice choice = choose();
            ++counts[choice.searcher ? choice.searcher->entry().instance : "none"];
        }
        return counts;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(equalSearchersShareTheCalls)
{
    PoolFixture fixture;
    for (const auto &[instance, count] : fixture.counts(900)) {
        BOOST_TEST(count > 200, instance);
    }
}

BOOST_AUTO_TEST_CASE(slowSearcherIsAvoidedAndTriedAgainLater)
{
    PoolFixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.call("s1", typical, CallEnd::Answered);
        fixture.call("s2", typical, CallEnd::Answered);
        fixture.call("s3", typical * 10, CallEnd::Answered);
    }
    BOOST_TEST(fixture.counts(300)["s3"] == 0);
    fixture.now += 40s;
    BOOST_TEST(fixture.counts(300)["s3"] > 0);
}

BOOST_AUTO_TEST_CASE(searcherWithAnOverdueCallIsAvoided)
{
    PoolFixture fixture;
    fixture.pool.find("s1")->beginCall(fixture.now, typical);
    fixture.now += typical * 4;
    BOOST_TEST(fixture.pool.find("s1")->isOverdue(fixture.now));
    BOOST_TEST(fixture.counts(300)["s1"] == 0);
}

BOOST_AUTO_TEST_CASE(searcherThatCannotBeReachedIsLeftAloneForGrowingTimes)
{
    PoolFixture fixture;
    const std::shared_ptr<TrackedSearcher> searcher = fixture.pool.find("s1");
    Duration last{0};
    for (int failure = 0; failure < 10; ++failure) {
        fixture.call("s1", 1ms, CallEnd::NotConnected);
        BOOST_TEST(searcher->isBlocked(fixture.now));
        const Duration block = searcher->blockedUntil() - fixture.now;
        BOOST_TEST((block >= last));
        BOOST_TEST((block <= Duration(2s)));
        last = block;
        fixture.now = searcher->blockedUntil();
    }
    BOOST_TEST(!searcher->isBlocked(fixture.now));
    fixture.call("s1", typical, CallEnd::Answered);
    BOOST_TEST(searcher->failuresInRow() == 0U);
}

BOOST_AUTO_TEST_CASE(crashedSearcherGetsNoCallUntilAConnectionOpens)
{
    PoolFixture fixture;
    const std::shared_ptr<TrackedSearcher> searcher = fixture.pool.find("s1");
    fixture.call("s1", 1ms, CallEnd::Crashed);
    BOOST_TEST(searcher->isUnreachable());
    BOOST_TEST(fixture.counts(100)["s1"] == 0);
    searcher->onReachable(fixture.now);
    BOOST_TEST(fixture.counts(100)["s1"] > 0);
}

BOOST_AUTO_TEST_CASE(unreachableSearcherGetsNoCallUntilAConnectionOpens)
{
    PoolFixture fixture;
    const std::shared_ptr<TrackedSearcher> searcher = fixture.pool.find("s1");
    fixture.call("s1", 1ms, CallEnd::NotConnected);
    BOOST_TEST(fixture.pool.reconnectCandidates(fixture.now).empty());
    for (int attempt = 0; attempt < 10; ++attempt) {
        fixture.now = searcher->blockedUntil();
        BOOST_TEST(fixture.counts(100)["s1"] == 0);
        BOOST_TEST(fixture.pool.reconnectCandidates(fixture.now).size() == 1U);
        searcher->onUnreachable(fixture.now);
        BOOST_TEST(fixture.pool.reconnectCandidates(fixture.now).empty());
        BOOST_TEST((searcher->blockedUntil() - fixture.now <= Duration(500ms)));
    }
    searcher->onReachable(fixture.now);
    BOOST_TEST(fixture.pool.reconnectCandidates(fixture.now).empty());
    BOOST_TEST(fixture.counts(300)["s1"] > 0);
}

BOOST_AUTO_TEST_CASE(searcherIsUnreachableIfNothingWasHeardOfItDuringACall)
{
    PoolFixture fixture;
    const std::shared_ptr<TrackedSearcher> searcher = fixture.pool.find("s1");
    const std::uint64_t first = searcher->beginCall(fixture.now, typical);
    fixture.now += 10ms;
    fixture.call("s1", 10ms, CallEnd::Answered);
    searcher->endCall(fixture.now, first, CallEnd::TimedOut, std::nullopt);
    BOOST_TEST(!searcher->isUnreachable());
    fixture.now += 1s;
    fixture.call("s1", 200ms, CallEnd::TimedOut);
    BOOST_TEST(searcher->isUnreachable());
}

BOOST_AUTO_TEST_CASE(reasonSaysWhyNobodyIsChosen)
{
    PoolFixture fixture;
    BOOST_TEST(
        (fixture.pool.choose(fixture.now, fixture.pool.backend("other"), {}).reason == PlacementFailure::Unknown));
    for (const char *instance : {"s1", "s2", "s3"}) {
        fixture.call(instance, 1ms, CallEnd::NotConnected);
    }
    BOOST_TEST((fixture.choose().reason == PlacementFailure::Blocked));
    BOOST_TEST(!fixture.pool.hasAvailableSearcher(fixture.now, fixture.desk()));
    fixture.now += 200ms;
    BOOST_TEST((fixture.choose().reason == PlacementFailure::Blocked));
    for (const char *instance : {"s1", "s2", "s3"}) {
        const std::shared_ptr<TrackedSearcher> searcher = fixture.pool.find(instance);
        searcher->onReachable(fixture.now);
        while (searcher->openCalls() < fixture.pool.connectionLimit(*searcher)) {
            searcher->beginCall(fixture.now, typical);
        }
    }
    BOOST_TEST((fixture.choose().reason == PlacementFailure::Saturated));
}

BOOST_AUTO_TEST_CASE(triedLeavingAndTakenOutSearchersAreNotChosen)
{
    PoolFixture fixture;
    SearcherEntry leaving = entry("s1");
    leaving.isLeaving = true;
    fixture.pool.put(fixture.now, leaving);
    fixture.pool.put(fixture.now, entry("s4", "b"));
    BOOST_TEST(fixture.pool.setExcludedDomains({"b"}));
    BOOST_TEST(!fixture.pool.setExcludedDomains({"b"}));
    const std::vector<std::shared_ptr<TrackedSearcher>> tried{fixture.pool.find("s2")};
    for (int i = 0; i < 20; ++i) {
        const Choice choice = fixture.choose(tried);
        BOOST_REQUIRE(choice.searcher);
        BOOST_TEST(choice.searcher->entry().instance == "s3");
    }
}

BOOST_AUTO_TEST_CASE(connectionsAreDividedAmongTheFleet)
{
    PoolFixture fixture;
    std::set<std::string> fleet;
    for (int vm = 0; vm < 12; ++vm) {
        fleet.insert("vm-" + std::to_string(vm));
    }
    fixture.pool.setFleet(fixture.now, fleet);
    const std::size_t limit = fixture.pool.connectionLimit(*fixture.pool.find("s1"));
    BOOST_TEST(limit * fleet.size() <= 26U);
    BOOST_TEST(limit >= 1U);
}

BOOST_AUTO_TEST_CASE(coldSearcherThatRegistersAgainGetsNoMoreThanItsRate)
{
    PoolFixture fixture;
    BackendLimits limits;
    limits.name = "desk";
    limits.maxConnections = 26;
    limits.coldCallsPerSecond = 2;
    fixture.pool.setBackendLimits({limits});
    SearcherEntry cold = entry("s1");
    cold.remainingColdTime = 10s;
    fixture.pool.remove("s2");
    fixture.pool.remove("s3");
    int calls = 0;
    for (int registration = 0; registration < 20; ++registration, fixture.now += 50ms) {
        fixture.pool.remove("s1");
        fixture.pool.put(fixture.now, cold);
        calls += fixture.choose().searcher ? 1 : 0;
    }
    BOOST_TEST(calls <= 2 * PoolBounds().coldFactor + PoolBounds().coldSlack);
}

BOOST_AUTO_TEST_CASE(coldSearcherGetsItsRateOverAllEntryVms)
{
    const std::set<std::string> fleet{"vm-1", "vm-2", "vm-3"};
    int calls = 0;
    for (const std::string &self : fleet) {
        SearcherPool pool(self, "a", PoolBounds(), 7);
        BackendLimits limits;
        limits.name = "desk";
        limits.maxConnections = 26;
        limits.coldCallsPerSecond = 10;
        pool.setBackendLimits({limits});
        pool.setFleet(TimePoint(1'000s), fleet);
        SearcherEntry cold = entry("s1");
        cold.remainingColdTime = 10s;
        TimePoint now{1'000s};
        pool.put(now, cold);
        for (int step = 0; step < 1'000; ++step, now += 1ms) {
            calls += pool.choose(now, pool.backend("desk"), {}).searcher ? 1 : 0;
        }
    }
    BOOST_TEST(calls > 0);
    BOOST_TEST(calls <= 10 * 1.5 + 5);
}

// Guards against VMs that start while no other can be found and each take themselves for the one that calls it.
BOOST_AUTO_TEST_CASE(coldSearcherGetsNothingFromVmsThatKnowNoOther)
{
    SearcherPool pool("vm-1", "a", PoolBounds(), 7);
    BackendLimits limits;
    limits.name = "desk";
    limits.maxConnections = 26;
    limits.coldCallsPerSecond = 10;
    pool.setBackendLimits({limits});
    Fleet fleet;
    fleet.isIsolated = true;
    TimePoint now{1'000s};
    pool.setFleet(now, fleet);
    SearcherEntry cold = entry("s1");
    cold.remainingColdTime = 3s;
    pool.put(now, cold);
    BOOST_TEST(!pool.choose(now, pool.backend("desk"), {}).searcher);
    fleet.isIsolated = false;
    pool.setFleet(now, fleet);
    BOOST_TEST(pool.choose(now, pool.backend("desk"), {}).searcher);
    fleet.isIsolated = true;
    pool.setFleet(now, fleet);
    now += 3s;
    BOOST_TEST(pool.choose(now, pool.backend("desk"), {}).searcher);
}

BOOST_AUTO_TEST_CASE(newProcessOfASearcherStartsWithEmptyStatistics)
{
    PoolFixture fixture;
    fixture.call("s1", 1ms, CallEnd::NotConnected);
    SearcherEntry restarted = entry("s1");
    restarted.startedAtMs = 99;
    fixture.pool.put(fixture.now, restarted);
    BOOST_TEST(!fixture.pool.find("s1")->isBlocked(fixture.now));
    BOOST_TEST(fixture.desk().searchers().size() == 3U);
}

namespace
{

constexpr CallParameters callParameters{typical, 20ms};

/// Makes a call that is answered after \p elapsed with a load report of \p waiting queued calls.
void callWithLoad(PoolFixture &fixture, const std::string &instance, Duration elapsed, std::uint32_t waiting)
{
    const std::shared_ptr<TrackedSearcher> searcher = fixture.pool.find(instance);
    const std::uint64_t number = searcher->beginCall(fixture.now, typical);
    fixture.now += elapsed;
    searcher->endCall(fixture.now, number, CallEnd::Answered, LoadReport{2, waiting, 2});
}

} // namespace

BOOST_AUTO_TEST_CASE(searcherAtWhichCallsQueueIsCalledByTurns)
{
    PoolFixture fixture;
    fixture.pool.setFleet(fixture.now, {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"});
    fixture.pool.remove("s2");
    fixture.pool.remove("s3");
    const auto room = [&fixture] { return fixture.pool.room(fixture.now, fixture.desk(), callParameters, false); };
    callWithLoad(fixture, "s1", 2 * typical, 2);
    // One unused turn is saved up, so two calls may be sent.
    for (int turn = 0; turn < 2; ++turn) {
        BOOST_TEST((room() == Room::Turn));
        BOOST_TEST(fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters).searcher);
    }
    // Both turns are used up. Six VMs share the two slots of the searcher, whose calls take the typical duration.
    BOOST_TEST((room() == Room::None));
    BOOST_TEST(!fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters).searcher);
    fixture.now += 3 * typical;
    BOOST_TEST((room() == Room::Turn));
}

BOOST_AUTO_TEST_CASE(searcherThatKeepsUpIsCalledFreely)
{
    constexpr CallParameters callParameters{typical, 50ms};
    PoolFixture fixture;
    fixture.pool.remove("s2");
    fixture.pool.remove("s3");
    callWithLoad(fixture, "s1", typical, 0);
    for (int count = 0; count < 2; ++count) {
        const Choice choice = fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters);
        BOOST_REQUIRE(choice.searcher);
        choice.searcher->beginCall(fixture.now, typical);
    }
    // The searcher has as many calls as this VM may send to it, but will be free soon.
    BOOST_TEST((fixture.pool.room(fixture.now, fixture.desk(), callParameters, false) == Room::Soon));
}

BOOST_AUTO_TEST_CASE(waitingCallsGoBeforeNewRequests)
{
    PoolFixture fixture;
    BOOST_TEST((fixture.pool.room(fixture.now, fixture.desk(), callParameters, true) == Room::Soon));
    for (const char *instance : {"s1", "s2", "s3"}) {
        callWithLoad(fixture, instance, 2 * typical, 2);
    }
    BOOST_TEST((fixture.pool.room(fixture.now, fixture.desk(), callParameters, true) == Room::None));
}

BOOST_AUTO_TEST_CASE(slowSearcherWithoutOpenCallsTakesACall)
{
    PoolFixture fixture;
    fixture.pool.remove("s2");
    fixture.pool.remove("s3");
    for (int count = 0; count < 10; ++count) {
        fixture.call("s1", 8 * typical, CallEnd::Answered);
    }
    BOOST_TEST((fixture.pool.room(fixture.now, fixture.desk(), callParameters, false) == Room::Now));
    fixture.pool.find("s1")->beginCall(fixture.now, typical);
    BOOST_TEST((fixture.pool.room(fixture.now, fixture.desk(), callParameters, false) == Room::None));
}

BOOST_AUTO_TEST_CASE(turnsAreSharedAmongTheAdvertisedVms)
{
    PoolFixture fixture;
    fixture.pool.setFleet(fixture.now, Fleet{{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"}, 2, 6});
    fixture.pool.remove("s2");
    fixture.pool.remove("s3");
    callWithLoad(fixture, "s1", 2 * typical, 2);
    for (int turn = 0; turn < 2; ++turn) {
        BOOST_TEST(fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters).searcher);
    }
    BOOST_TEST(!fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters).searcher);
    fixture.now += typical;
    BOOST_TEST(fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters).searcher);
}

BOOST_AUTO_TEST_CASE(hedgesGoToNoSearcherThatIsFull)
{
    constexpr CallParameters hedge{typical, 50ms, true};
    PoolFixture fixture;
    BOOST_TEST(fixture.pool.choose(fixture.now, fixture.desk(), {}, hedge).searcher);
    for (const char *instance : {"s1", "s2", "s3"}) {
        callWithLoad(fixture, instance, 3 * typical, 4);
    }
    BOOST_TEST(!fixture.pool.choose(fixture.now, fixture.desk(), {}, hedge).searcher);
    BOOST_TEST(fixture.pool.choose(fixture.now, fixture.desk(), {}, callParameters).searcher);
}
