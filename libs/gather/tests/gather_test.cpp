#include "gather/gather.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

struct Sent {
    std::size_t part;
    CallPurpose purpose;

    bool operator==(const Sent &) const = default;
};

/// A Gather whose calls are recorded instead of sent.
struct GatherFixture {
    TimePoint now{1'000s};
    GatherParameters parameters;
    std::vector<Sent> sent;
    std::vector<GatherEnd> ends;
    /// Results of the next place() calls, in this order; Sent once the list is empty.
    std::vector<Placement> placements;
    /// Parts whose searchers have only roomOfBusyParts.
    std::set<std::size_t> busyParts;
    Room roomOfBusyParts = Room::Soon;
    std::unique_ptr<Gather> gather;

    explicit GatherFixture(std::size_t parts, std::size_t minParts = 0)
    {
        parameters.partCount = parts;
        parameters.minParts = minParts == 0 ? parts : minParts;
        parameters.maxAttempts = 2;
        parameters.hedgeDelay = 10ms;
        parameters.targetAt = now + 80ms;
        parameters.refuseAt = now + 20ms;
        parameters.deadline = now + 800ms;
    }

    Gather &start()
    {
        GatherHooks hooks;
        hooks.room = [this](std::size_t part) { return busyParts.contains(part) ? roomOfBusyParts : Room::Now; };
        hooks.place = [this](std::size_t part, CallPurpose purpose) {
            Placement placement = Placement::Sent;
            if (!placements.empty()) {
                placement = placements.front();
                placements.erase(placements.begin());
            }
            if (placement == Placement::Sent) {
                sent.push_back({part, purpose});
            }
            return placement;
        };
        hooks.finish = [this](GatherEnd end) { ends.push_back(end); };
        gather = std::make_unique<Gather>(parameters, hooks);
        gather->start(now);
        return *gather;
    }

    bool hasEnded(GatherEnd end) const { return ends.size() == 1 && ends.front() == end; }
};

} // namespace

BOOST_AUTO_TEST_CASE(allPartsAreSentAndAnswered)
{
    GatherFixture fixture(3);
    Gather &gather = fixture.start();
    BOOST_TEST(fixture.sent.size() == 3U);
    gather.onAnswered(fixture.now, 0);
    gather.onAnswered(fixture.now, 2);
    BOOST_TEST(fixture.ends.empty());
    gather.onAnswered(fixture.now, 1);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
    BOOST_TEST(!gather.wakeAt().has_value());
}

BOOST_AUTO_TEST_CASE(latePartIsHedgedOnce)
{
    GatherFixture fixture(2);
    Gather &gather = fixture.start();
    gather.onAnswered(fixture.now, 0);
    BOOST_REQUIRE(gather.wakeAt().has_value());
    BOOST_TEST((*gather.wakeAt() == fixture.now + 10ms));
    gather.onTimer(fixture.now + 10ms);
    BOOST_TEST((fixture.sent.back() == Sent{1, CallPurpose::Hedge}));
    gather.onTimer(fixture.now + 30ms);
    BOOST_TEST(fixture.sent.size() == 3U);
    gather.onFailed(fixture.now + 31ms, 1, Ran::Unknown);
    BOOST_TEST(fixture.ends.empty());
    gather.onAnswered(fixture.now + 32ms, 1);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
}

BOOST_AUTO_TEST_CASE(answerGoesOutAtTheTargetWithEnoughParts)
{
    GatherFixture fixture(10, 9);
    fixture.parameters.maxAttempts = 1;
    Gather &gather = fixture.start();
    for (std::size_t part = 0; part < 9; ++part) {
        gather.onAnswered(fixture.now + 5ms, part);
    }
    BOOST_TEST(fixture.ends.empty());
    BOOST_TEST((*gather.wakeAt() == fixture.parameters.targetAt));
    gather.onTimer(fixture.parameters.targetAt);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
    BOOST_TEST(gather.answeredParts() == 9U);
}

BOOST_AUTO_TEST_CASE(answerAfterTheTargetGoesOutAsSoonAsThereIsEnough)
{
    GatherFixture fixture(4, 3);
    Gather &gather = fixture.start();
    gather.onAnswered(fixture.now, 0);
    gather.onAnswered(fixture.now, 1);
    gather.onTimer(fixture.parameters.targetAt);
    BOOST_TEST(fixture.ends.empty());
    gather.onAnswered(fixture.parameters.targetAt + 50ms, 3);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
}

BOOST_AUTO_TEST_CASE(lostPartEndsTheRequestOnceNoMoreCanCome)
{
    GatherFixture fixture(3, 2);
    fixture.placements = {Placement::Sent, Placement::Sent, Placement::Declined};
    Gather &gather = fixture.start();
    gather.onAnswered(fixture.now, 0);
    gather.onAnswered(fixture.now, 1);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
}

BOOST_AUTO_TEST_CASE(failureIsRetriedWithinItsAttempts)
{
    GatherFixture fixture(1);
    Gather &gather = fixture.start();
    gather.onFailed(fixture.now, 0, Ran::Unknown);
    BOOST_TEST((fixture.sent.back() == Sent{0, CallPurpose::Retry}));
    gather.onFailed(fixture.now, 0, Ran::Unknown);
    BOOST_TEST(fixture.sent.size() == 2U);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Failed));
}

BOOST_AUTO_TEST_CASE(rejectionIsNoAttempt)
{
    GatherFixture fixture(1);
    Gather &gather = fixture.start();
    gather.onFailed(fixture.now, 0, Ran::No);
    gather.onFailed(fixture.now, 0, Ran::No);
    gather.onFailed(fixture.now, 0, Ran::No);
    BOOST_TEST(fixture.sent.size() == 4U);
    BOOST_TEST(!gather.mayHaveRun());
    fixture.placements = {Placement::Declined};
    gather.onFailed(fixture.now, 0, Ran::No);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Unserved));
}

BOOST_AUTO_TEST_CASE(nothingIsSentUntilEnoughPartsHaveRoom)
{
    GatherFixture fixture(3, 2);
    fixture.busyParts = {0, 1};
    Gather &gather = fixture.start();
    BOOST_TEST(fixture.sent.empty());
    BOOST_TEST((*gather.wakeAt() == fixture.parameters.refuseAt));
    fixture.busyParts = {1};
    BOOST_TEST(gather.start(fixture.now + 5ms));
    BOOST_TEST(fixture.sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(requestThatFindsNoRoomIsRefusedAsNotRun)
{
    GatherFixture fixture(3, 2);
    fixture.busyParts = {0, 1};
    Gather &gather = fixture.start();
    gather.onTimer(fixture.parameters.refuseAt);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Unserved));
    BOOST_TEST(!gather.mayHaveRun());
}

BOOST_AUTO_TEST_CASE(requestEndsWhenItsWaitingPartsAreGivenUp)
{
    GatherFixture fixture(2);
    fixture.placements = {Placement::Sent, Placement::Waiting, Placement::Waiting};
    Gather &gather = fixture.start();
    BOOST_TEST(gather.hasOpenCalls());
    gather.onFailed(fixture.now, 0, Ran::Unknown);
    BOOST_TEST(!gather.hasOpenCalls());
    BOOST_TEST(fixture.ends.empty());
    gather.giveUpWaiting(fixture.now);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Failed));
}

BOOST_AUTO_TEST_CASE(requestThatMayHaveRunIsNeverRepeatedNorCalledUnserved)
{
    GatherFixture fixture(1);
    fixture.parameters.isIdempotent = false;
    Gather &gather = fixture.start();
    gather.onTimer(fixture.now + 200ms);
    BOOST_TEST(fixture.sent.size() == 1U);
    gather.onFailed(fixture.now + 210ms, 0, Ran::Unknown);
    BOOST_TEST(fixture.sent.size() == 1U);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Failed));
}

BOOST_AUTO_TEST_CASE(requestThatWasNotSentInTimeIsRefused)
{
    GatherFixture fixture(1);
    fixture.placements = {Placement::Waiting};
    Gather &gather = fixture.start();
    BOOST_TEST((*gather.wakeAt() == fixture.parameters.refuseAt));
    gather.onTimer(fixture.parameters.refuseAt);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Unserved));
}

BOOST_AUTO_TEST_CASE(waitingPartIsSentLater)
{
    GatherFixture fixture(1);
    fixture.placements = {Placement::Waiting};
    Gather &gather = fixture.start();
    gather.onPlaced(fixture.now + 5ms, 0);
    gather.onTimer(fixture.parameters.refuseAt);
    BOOST_TEST(fixture.ends.empty());
    gather.onAnswered(fixture.now + 30ms, 0);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
}

BOOST_AUTO_TEST_CASE(deadlineEndsTheRequest)
{
    GatherFixture fixture(2, 1);
    fixture.parameters.targetAt = fixture.parameters.deadline + 1s;
    Gather &gather = fixture.start();
    gather.onAnswered(fixture.now, 0);
    gather.onTimer(fixture.parameters.deadline);
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));

    GatherFixture silent(2);
    silent.start().onTimer(silent.parameters.deadline);
    BOOST_TEST(silent.hasEnded(GatherEnd::TimedOut));
}

BOOST_AUTO_TEST_CASE(tooFewPartsEndTheRequestAtOnce)
{
    GatherFixture fixture(10, 9);
    fixture.placements.assign(10, Placement::Sent);
    fixture.placements[3] = Placement::Declined;
    fixture.placements[4] = Placement::Declined;
    fixture.start();
    BOOST_TEST(fixture.hasEnded(GatherEnd::Failed));

    GatherFixture nothing(2, 1);
    nothing.placements.assign(2, Placement::Declined);
    nothing.start();
    BOOST_TEST(nothing.hasEnded(GatherEnd::Unserved));
}

BOOST_AUTO_TEST_CASE(queryWhoseNeededPartsWouldQueueIsNotStarted)
{
    GatherFixture fixture(8, 8);
    fixture.busyParts = {5};
    fixture.roomOfBusyParts = Room::None;
    Gather &gather = fixture.start();
    BOOST_TEST(fixture.sent.empty());
    // A part that gets room soon does not delay the others.
    fixture.roomOfBusyParts = Room::Soon;
    BOOST_TEST(gather.start(fixture.now + 5ms));
    BOOST_TEST(fixture.sent.size() == 8U);
}

BOOST_AUTO_TEST_CASE(fullPartThatIsNotNeededIsLeftOut)
{
    for (const Room room : {Room::None, Room::NextTurn}) {
        GatherFixture fixture(8, 7);
        fixture.busyParts = {5};
        fixture.roomOfBusyParts = room;
        Gather &gather = fixture.start();
        BOOST_TEST(fixture.sent.size() == 7U);
        for (const std::size_t part : {0U, 1U, 2U, 3U, 4U, 6U}) {
            gather.onAnswered(fixture.now, part);
        }
        BOOST_TEST(fixture.ends.empty());
        gather.onAnswered(fixture.now, 7);
        BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
        BOOST_TEST(gather.answeredParts() == 7U);
    }
}

BOOST_AUTO_TEST_CASE(onlyAsManyFullPartsAreSentAsAnAnswerNeeds)
{
    GatherFixture fixture(8, 7);
    fixture.busyParts = {2, 5};
    fixture.roomOfBusyParts = Room::NextTurn;
    fixture.start();
    BOOST_TEST(fixture.sent.size() == 7U);
    // These backends are not short of searchers, or it is the turn of this process.
    for (const Room room : {Room::Soon, Room::Turn}) {
        GatherFixture others(8, 6);
        others.busyParts = {2, 5};
        others.roomOfBusyParts = room;
        others.start();
        BOOST_TEST(others.sent.size() == 8U);
    }
}

BOOST_AUTO_TEST_CASE(partThatWasLeftOutIsSentOnceAnotherIsLost)
{
    GatherFixture fixture(4, 3);
    fixture.busyParts = {1};
    fixture.roomOfBusyParts = Room::NextTurn;
    fixture.parameters.maxAttempts = 1;
    Gather &gather = fixture.start();
    BOOST_REQUIRE(fixture.sent.size() == 3U);
    gather.onFailed(fixture.now, 0, Ran::Unknown);
    BOOST_REQUIRE(fixture.sent.size() == 4U);
    BOOST_TEST(fixture.sent.back().part == 1U);
    for (const std::size_t part : {1U, 2U, 3U}) {
        gather.onAnswered(fixture.now, part);
    }
    BOOST_TEST(fixture.hasEnded(GatherEnd::Answered));
}

BOOST_AUTO_TEST_CASE(partThatWasLeftOutReplacesALateOne)
{
    GatherFixture fixture(4, 3);
    fixture.busyParts = {1};
    fixture.roomOfBusyParts = Room::NextTurn;
    Gather &gather = fixture.start();
    gather.onTimer(fixture.now + 10ms);
    // The searchers of the left-out part are still queueing.
    BOOST_REQUIRE(fixture.sent.size() == 6U);
    GatherFixture free(4, 3);
    free.busyParts = {1};
    free.roomOfBusyParts = Room::NextTurn;
    Gather &other = free.start();
    free.roomOfBusyParts = Room::Turn;
    other.onAnswered(free.now, 0);
    other.onAnswered(free.now, 2);
    other.onTimer(free.now + 10ms);
    BOOST_REQUIRE(free.sent.size() == 5U);
    BOOST_TEST((free.sent.back() == Sent{1, CallPurpose::First}));
    other.onAnswered(free.now + 20ms, 1);
    other.onAnswered(free.now + 30ms, 3);
    BOOST_TEST(free.hasEnded(GatherEnd::Answered));
}
