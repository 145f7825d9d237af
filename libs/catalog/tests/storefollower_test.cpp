#include "catalog/storefollower.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

struct FollowerFixture {
    TimePoint now{1'000s};
    StoreFollower follower{{"a/", "b/"}, 7};
    StoreActions actions;

    /// Advances the time to the follower's next call and returns that call.
    StoreCall nextCall()
    {
        actions = {};
        follower.onTimer(now, actions);
        if (!actions.call && actions.wakeAt) {
            now = *actions.wakeAt;
            actions = {};
            follower.onTimer(now, actions);
        }
        BOOST_REQUIRE(actions.call.has_value());
        StoreCall next = *actions.call;
        actions = {};
        return next;
    }

    void answerPage(std::vector<StoreItem> items, bool hasMore, std::uint64_t asOf, std::uint64_t epoch = 0)
    {
        follower.onPage(now, StorePage{std::move(items), hasMore, {epoch, asOf}, epoch > 0}, actions);
    }

    void completeList()
    {
        nextCall();
        answerPage({}, false, 10);
        nextCall();
        answerPage({}, false, 12);
    }

    /// Resumes at a position that another source last confirmed \p silence ago.
    void turnToStore(Duration silence)
    {
        follower.pause();
        follower.adoptPosition({0, 40});
        const TimePoint confirmedAt = now;
        now += silence;
        follower.resume(now, confirmedAt, actions);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(allPagesAreListedBeforeWatchingFromTheFirstRevision)
{
    FollowerFixture fixture;
    StoreCall call = fixture.nextCall();
    BOOST_TEST(call.prefix == "a/");
    fixture.answerPage({{"a/1", "x", {0, 3}, false}}, true, 10);
    BOOST_TEST(fixture.actions.hasStoreReturned);
    call = fixture.nextCall();
    BOOST_TEST(call.prefix == "a/");
    BOOST_TEST(call.afterKey == "a/1");
    fixture.answerPage({{"a/2", "x", {0, 4}, false}}, false, 11);
    BOOST_TEST(!fixture.actions.isListComplete);
    call = fixture.nextCall();
    BOOST_TEST(call.prefix == "b/");
    BOOST_TEST(call.afterKey == "");
    fixture.answerPage({}, false, 15);
    BOOST_TEST(fixture.actions.isListComplete);
    BOOST_TEST((fixture.actions.listedKeys == std::set<std::string>{"a/1", "a/2"}));
    call = fixture.nextCall();
    BOOST_TEST((call.kind == StoreCall::Kind::Watch));
    BOOST_TEST(call.afterRevision == 10U);
}

BOOST_AUTO_TEST_CASE(listThatStartsOverForgetsTheKeysOfTheFirstAttempt)
{
    FollowerFixture fixture;
    fixture.nextCall();
    fixture.answerPage({{"a/1", "x", {0, 3}, false}}, true, 10);
    fixture.nextCall();
    fixture.follower.onFailure(fixture.now, StoreFailure::Refused, fixture.actions);
    BOOST_TEST(fixture.nextCall().afterKey == "");
    fixture.answerPage({{"a/2", "x", {0, 4}, false}}, false, 12);
    fixture.nextCall();
    fixture.answerPage({}, false, 13);
    BOOST_TEST(fixture.actions.isListComplete);
    BOOST_TEST((fixture.actions.listedKeys == std::set<std::string>{"a/2"}));
}

BOOST_AUTO_TEST_CASE(pageThatDoesNotAdvanceEndsItsPrefix)
{
    FollowerFixture fixture;
    fixture.nextCall();
    fixture.answerPage({{"a/1", "x", {0, 3}, false}}, true, 10);
    fixture.nextCall();
    fixture.answerPage({{"a/1", "x", {0, 3}, false}}, true, 10);
    BOOST_TEST(fixture.nextCall().prefix == "b/");
}

BOOST_AUTO_TEST_CASE(watchContinuesFromTheLastRevision)
{
    FollowerFixture fixture;
    fixture.completeList();
    fixture.nextCall();
    fixture.follower.onChanges(fixture.now, StoreChanges{{{"a/1", "", {0, 20}, true}}, {0, 21}}, fixture.actions);
    BOOST_TEST(fixture.actions.items.size() == 1U);
    const TimePoint before = fixture.now;
    const StoreCall call = fixture.nextCall();
    BOOST_TEST(call.afterRevision == 21U);
    BOOST_TEST((fixture.now - before == StoreFollower::watchPause()));
}

BOOST_AUTO_TEST_CASE(lostHistoryMeansANewListButNoOutage)
{
    FollowerFixture fixture;
    fixture.completeList();
    fixture.nextCall();
    fixture.follower.onFailure(fixture.now, StoreFailure::HistoryLost, fixture.actions);
    BOOST_TEST(!fixture.actions.hasStoreReturned);
    BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::List));
    fixture.answerPage({}, false, 30);
    BOOST_TEST(!fixture.actions.hasStoreReturned);
    fixture.nextCall();
    fixture.answerPage({}, false, 31);
    BOOST_TEST(fixture.nextCall().afterRevision == 30U);
}

// Guards against a watch whose answer cannot be taken and that is repeated until the store drops its history.
BOOST_AUTO_TEST_CASE(answerToAWatchThatCannotBeTakenMeansANewList)
{
    for (const StoreFailure failure : {StoreFailure::TooLarge, StoreFailure::BadAnswer}) {
        FollowerFixture fixture;
        fixture.completeList();
        BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::Watch));
        fixture.follower.onFailure(fixture.now, failure, fixture.actions);
        const TimePoint before = fixture.now;
        BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::List), name(failure));
        // The store has answered: only an answer that makes no sense is a reason to wait.
        BOOST_TEST((failure == StoreFailure::BadAnswer || fixture.now == before));
        fixture.answerPage({}, false, 30);
        BOOST_TEST(!fixture.actions.hasStoreReturned);
        fixture.nextCall();
        fixture.answerPage({}, false, 31);
        BOOST_TEST(fixture.nextCall().afterRevision == 30U);
    }
}

BOOST_AUTO_TEST_CASE(brokenWatchIsRetriedAtOnceAndIsNoOutage)
{
    FollowerFixture fixture;
    fixture.completeList();
    fixture.nextCall();
    fixture.follower.onFailure(fixture.now, StoreFailure::Unreachable, fixture.actions);
    const TimePoint before = fixture.now;
    const StoreCall call = fixture.nextCall();
    BOOST_TEST((fixture.now == before));
    BOOST_TEST((call.kind == StoreCall::Kind::Watch));
    fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 12}}, fixture.actions);
    BOOST_TEST(!fixture.actions.hasStoreReturned);
}

// Guards against removals that are held back because a connection fell silent while the store served all the time.
BOOST_AUTO_TEST_CASE(silentConnectionIsReplacedAtOnceAndIsNoOutage)
{
    FollowerFixture fixture;
    fixture.completeList();
    fixture.now += fixture.nextCall().timeout;
    fixture.follower.onFailure(fixture.now, StoreFailure::TimedOut, fixture.actions);
    BOOST_TEST(!fixture.follower.isConnected());
    const TimePoint before = fixture.now;
    BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::Watch));
    BOOST_TEST((fixture.now == before));
    fixture.now += 50ms;
    fixture.follower.onChanges(fixture.now, StoreChanges{{{"a/1", "", {0, 20}, true}}, {0, 20}}, fixture.actions);
    BOOST_TEST(!fixture.actions.hasStoreReturned);
    BOOST_TEST(fixture.actions.items.size() == 1U);
}

// Guards against a watch that breaks late, is repeated, and is held by the store as usual: that is no outage either.
BOOST_AUTO_TEST_CASE(firstWatchAfterAFailureIsAnsweredAtOnce)
{
    FollowerFixture fixture;
    fixture.completeList();
    BOOST_TEST((fixture.nextCall().wait == StoreFollower::watchWait()));
    fixture.now += StoreFollower::watchWait();
    fixture.follower.onFailure(fixture.now, StoreFailure::Unreachable, fixture.actions);
    const StoreCall check = fixture.nextCall();
    BOOST_TEST((check.kind == StoreCall::Kind::Watch));
    BOOST_TEST((check.wait == StoreFollower::checkWait()));
    fixture.now += check.wait + 50ms;
    fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 12}}, fixture.actions);
    BOOST_TEST(!fixture.actions.hasStoreReturned);
    BOOST_TEST((fixture.nextCall().wait == StoreFollower::watchWait()));
}

// A store that answers nobody for some time loses registrations that its searchers cannot renew.
BOOST_AUTO_TEST_CASE(silenceThatLastsIsAnOutage)
{
    for (const StoreFailure failure : {StoreFailure::TimedOut, StoreFailure::Unreachable}) {
        FollowerFixture fixture;
        fixture.completeList();
        const TimePoint answeredAt = fixture.now;
        while (fixture.now - answeredAt < StoreFollower::minOutageTime()) {
            const StoreCall call = fixture.nextCall();
            fixture.now += failure == StoreFailure::TimedOut ? call.timeout : 10ms;
            fixture.follower.onFailure(fixture.now, failure, fixture.actions);
        }
        fixture.nextCall();
        fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 12}}, fixture.actions);
        BOOST_TEST(fixture.actions.hasStoreReturned, name(failure));
    }
}

// Guards against a process that turns from its peers to the store and takes that for the store's return.
BOOST_AUTO_TEST_CASE(storeIsNotAwayWhileAnotherSourceConfirmsItsItems)
{
    struct Case {
        Duration silence;
        bool hasOwnCallFailed;
        Duration answerTime;
        bool isOutage;
    };
    const Duration outage = StoreFollower::minOutageTime();
    const Duration late = StoreFollower::maxPromptAnswerTime();
    // A silence of the peers alone says nothing of the store, whatever its length.
    for (const Case &given : {Case{1s, false, 50ms, false},
                              Case{outage, false, 50ms, false},
                              Case{60s, false, 50ms, false},
                              Case{1s, true, 50ms, false},
                              Case{outage, true, 50ms, true},
                              Case{1s, false, late, false},
                              Case{outage, false, late, true}}) {
        FollowerFixture fixture;
        fixture.turnToStore(given.silence);
        BOOST_TEST(fixture.nextCall().afterRevision == 40U);
        if (given.hasOwnCallFailed) {
            fixture.follower.onFailure(fixture.now, StoreFailure::Unreachable, fixture.actions);
            fixture.nextCall();
        }
        fixture.now += given.answerTime;
        fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 41}}, fixture.actions);
        BOOST_TEST(fixture.actions.hasStoreReturned == given.isOutage);
    }
    FollowerFixture unconfirmed;
    unconfirmed.follower.pause();
    unconfirmed.follower.adoptPosition({0, 40});
    unconfirmed.follower.resume(unconfirmed.now, std::nullopt, unconfirmed.actions);
    unconfirmed.nextCall();
    unconfirmed.follower.onChanges(unconfirmed.now, StoreChanges{{}, {0, 41}}, unconfirmed.actions);
    BOOST_TEST(unconfirmed.actions.hasStoreReturned);
}

// Guards against a process that alone is cut off from the store or rejected by it, and holds removals back afterwards.
BOOST_AUTO_TEST_CASE(storeThatServesOtherProcessesIsNotAway)
{
    for (const StoreFailure failure : {StoreFailure::Unreachable, StoreFailure::Refused}) {
        for (const bool isConfirmedByOthers : {true, false}) {
            FollowerFixture fixture;
            fixture.completeList();
            const TimePoint answeredAt = fixture.now;
            while (fixture.now - answeredAt < 2 * StoreFollower::minOutageTime()) {
                fixture.nextCall();
                fixture.follower.onFailure(fixture.now, failure, fixture.actions);
                if (isConfirmedByOthers) {
                    fixture.follower.noteConfirmed(fixture.now);
                }
            }
            fixture.nextCall();
            fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 12}}, fixture.actions);
            BOOST_TEST(fixture.actions.hasStoreReturned != isConfirmedByOthers, name(failure));
        }
    }
}

// Guards against a process that keeps an old version although the store counts as stable again, 4 s after it has cut
// the watches and forgotten their history.
BOOST_AUTO_TEST_CASE(historyThatIsLostWithTheWatchIsListedInTime)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        FollowerFixture fixture;
        fixture.follower = StoreFollower({"a/", "b/"}, seed);
        fixture.follower.setSlowRetry(true);
        fixture.completeList();
        fixture.nextCall();
        const TimePoint cutAt = fixture.now;
        fixture.follower.onFailure(fixture.now, StoreFailure::Unreachable, fixture.actions);
        fixture.now += fixture.nextCall().timeout;
        fixture.follower.onFailure(fixture.now, StoreFailure::TimedOut, fixture.actions);
        BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::Watch));
        fixture.follower.onFailure(fixture.now, StoreFailure::HistoryLost, fixture.actions);
        BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::List));
        BOOST_TEST((fixture.now - cutAt < 4s));
    }
}

BOOST_AUTO_TEST_CASE(refusalsAreOutages)
{
    FollowerFixture fixture;
    fixture.completeList();
    fixture.nextCall();
    fixture.follower.onFailure(fixture.now, StoreFailure::Refused, fixture.actions);
    BOOST_TEST(!fixture.follower.isConnected());
    fixture.nextCall();
    fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 12}}, fixture.actions);
    BOOST_TEST(fixture.actions.hasStoreReturned);
}

BOOST_AUTO_TEST_CASE(retryPausesGrowToTheMaximum)
{
    FollowerFixture fixture;
    fixture.completeList();
    TimePoint before = fixture.now;
    for (int attempt = 0; attempt < 12; ++attempt) {
        fixture.nextCall();
        BOOST_TEST((fixture.now - before <= StoreFollower::maxRetryPause() * 3 / 2));
        before = fixture.now;
        fixture.follower.onFailure(fixture.now, StoreFailure::Unreachable, fixture.actions);
    }
    BOOST_TEST((fixture.now - TimePoint(1'000s) > 4s));
    fixture.nextCall();
    fixture.follower.onChanges(fixture.now, StoreChanges{{}, {0, 12}}, fixture.actions);
    BOOST_TEST(fixture.actions.hasStoreReturned);
}

// Guards against changes of two histories in one, and against a follower that waits until revisions overtake its own.
BOOST_AUTO_TEST_CASE(answerOfANewerEpochMeansANewList)
{
    FollowerFixture fixture;
    fixture.completeList();
    fixture.nextCall();
    fixture.follower.onChanges(fixture.now, StoreChanges{{{"a/1", "x", {1, 8}, false}}, {1, 8}, true}, fixture.actions);
    BOOST_TEST(fixture.actions.items.empty());
    BOOST_TEST(!fixture.follower.completeAsOf().has_value());
    BOOST_TEST(fixture.follower.isConnected());
    const TimePoint before = fixture.now;
    BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::List));
    BOOST_TEST((fixture.now == before));
    fixture.answerPage({{"a/1", "x", {1, 8}, false}}, false, 8, 1);
    BOOST_TEST(fixture.actions.items.size() == 1U);
    fixture.nextCall();
    fixture.answerPage({}, false, 9, 1);
    BOOST_TEST((*fixture.follower.completeAsOf() == StorePosition(1, 8)));
    BOOST_TEST(fixture.nextCall().afterRevision == 8U);
}

BOOST_AUTO_TEST_CASE(listWhosePagesAreOfTwoEpochsStartsAgain)
{
    FollowerFixture fixture;
    fixture.nextCall();
    fixture.answerPage({{"a/1", "x", {1, 3}, false}}, true, 10, 1);
    BOOST_TEST(fixture.nextCall().afterKey == "a/1");
    fixture.answerPage({{"a/2", "x", {2, 3}, false}}, false, 5, 2);
    BOOST_TEST(fixture.actions.items.empty());
    const StoreCall call = fixture.nextCall();
    BOOST_TEST(call.prefix == "a/");
    BOOST_TEST(call.afterKey == "");
    fixture.answerPage({{"a/2", "x", {2, 3}, false}}, false, 6, 2);
    fixture.nextCall();
    fixture.answerPage({}, false, 7, 2);
    BOOST_TEST((fixture.actions.listedKeys == std::set<std::string>{"a/2"}));
    BOOST_TEST((*fixture.follower.completeAsOf() == StorePosition(2, 6)));
}

// Guards against a part of the store that still serves the lost history.
BOOST_AUTO_TEST_CASE(answerOfAnOlderEpochCountsAsNone)
{
    FollowerFixture fixture;
    fixture.completeList();
    // As a peer says while the store is read.
    fixture.follower.adoptPosition({1, 3});
    BOOST_TEST(!fixture.follower.completeAsOf().has_value());
    BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::List));
    fixture.answerPage({{"a/1", "x", {0, 30}, false}}, false, 30);
    BOOST_TEST((fixture.actions.rejection == StoreFailure::OldEpoch));
    BOOST_TEST(fixture.actions.items.empty());
    BOOST_TEST(!fixture.follower.isConnected());
    fixture.nextCall();
    fixture.answerPage({}, false, 5, 1);
    fixture.nextCall();
    fixture.answerPage({}, false, 5, 1);
    fixture.nextCall();
    fixture.follower.onChanges(fixture.now, StoreChanges{{{"a/1", "", {0, 40}, true}}, {0, 40}, true}, fixture.actions);
    BOOST_TEST((fixture.actions.rejection == StoreFailure::OldEpoch));
    BOOST_TEST(fixture.actions.items.empty());
    BOOST_TEST((*fixture.follower.completeAsOf() == StorePosition(1, 5)));
}

// Guards against an answer of the lost history whose epoch cannot be read; epoch 0 counts as stated, too.
BOOST_AUTO_TEST_CASE(answerWithoutAnEpochAfterOneThatStatedItIsUnreadable)
{
    FollowerFixture fixture;
    fixture.nextCall();
    fixture.follower.onPage(fixture.now, StorePage{{}, false, {0, 10}, true}, fixture.actions);
    fixture.nextCall();
    fixture.answerPage({{"b/1", "x", {0, 30}, false}}, false, 30);
    BOOST_TEST((fixture.actions.rejection == StoreFailure::BadAnswer));
    BOOST_TEST(fixture.actions.items.empty());
    BOOST_TEST(fixture.nextCall().prefix == "a/");
}

// Guards against all processes that list the store at the moment at which it comes back from a copy.
BOOST_AUTO_TEST_CASE(processThatIsNotTheOnlyOneWaitsBeforeItListsANewEpoch)
{
    for (const bool isSlow : {false, true}) {
        FollowerFixture fixture;
        fixture.follower.setSlowRetry(isSlow);
        fixture.completeList();
        fixture.nextCall();
        fixture.follower.onChanges(fixture.now, StoreChanges{{}, {1, 8}, true}, fixture.actions);
        const TimePoint before = fixture.now;
        BOOST_TEST((fixture.nextCall().kind == StoreCall::Kind::List));
        BOOST_TEST((fixture.now - before >= StoreFollower::initialRetryPause()) == isSlow);
    }
}
