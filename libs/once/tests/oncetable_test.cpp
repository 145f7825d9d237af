#include "once/oncetable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000}};
const TicketOrigin ownLife{DaemonId{1}, Incarnation{5}, 99};

/// A table with one issuer; collects what it wants done.
struct Fixture {
    OnceLimits limits;
    TicketIssuer issuer{ownLife, 60s};
    std::optional<OnceTable> table;
    std::map<std::uint64_t, OnceAnswer> answers;
    std::vector<OnceAttempt> attempts;
    OnceActions actions;
    std::uint64_t lastWaiter = 0;

    explicit Fixture(OnceLimits bounds = {}) : limits(bounds)
    {
        table = OnceTable::Builder().origin(ownLife).limits(limits).build().value();
    }

    /// Sends a copy. \return the number of its waiter.
    std::uint64_t send(const Ticket &ticket, Duration at, std::uint64_t content = 1, const std::string &key = "k")
    {
        const WaiterId waiter{++lastWaiter};
        table->onRequest(origin + at, {waiter, ticket, key, Fingerprint{content}, origin + at + 1s}, actions);
        collect();
        return waiter.value;
    }

    void end(AttemptEnd::End end, Duration at, std::string body = {})
    {
        table->onAttemptEnd(origin + at,
                            {attempts.back().attempt, end, Errc::ConnectionLost, 200, std::move(body), Duration{0}},
                            actions);
        collect();
    }

    void collect()
    {
        for (const OnceReply &reply : actions.answer) {
            BOOST_TEST(answers.emplace(reply.waiter.value, reply.answer).second);
        }
        attempts.insert(attempts.end(), actions.run.begin(), actions.run.end());
        actions.clear();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(copiesOfARunningRequestWaitAndLaterOnesGetTheStoredAnswer)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    const std::uint64_t first = fixture.send(ticket, 0ms);
    const std::uint64_t second = fixture.send(ticket, 1ms);
    BOOST_TEST(fixture.attempts.size() == 1U);
    BOOST_TEST(fixture.answers.empty());
    fixture.end(AttemptEnd::End::Answered, 5ms, "booked");
    const std::uint64_t third = fixture.send(ticket, 90s);
    for (const std::uint64_t waiter : {first, second, third}) {
        BOOST_TEST((fixture.answers.at(waiter).ran == Ran::Yes));
        BOOST_TEST(*fixture.answers.at(waiter).body == "booked");
    }
    BOOST_TEST(fixture.attempts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(onlyAttemptsThatWereNotSentAreRepeated)
{
    Fixture fixture;
    const std::uint64_t waiter = fixture.send(fixture.issuer.issue(origin), 0ms);
    fixture.end(AttemptEnd::End::NotSent, 1ms);
    BOOST_TEST(fixture.attempts.size() == 2U);
    fixture.end(AttemptEnd::End::MaybeSent, 2ms);
    BOOST_TEST(fixture.attempts.size() == 2U);
    BOOST_TEST((fixture.answers.at(waiter).ran == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(aRefusalIsFinalOnceTheAttemptsAreUsedUp)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    const std::uint64_t waiter = fixture.send(ticket, 0ms);
    for (std::uint32_t i = 0; i < fixture.limits.attempts; ++i) {
        fixture.end(AttemptEnd::End::NotSent, 1ms);
    }
    const std::uint64_t copy = fixture.send(ticket, 2ms);
    BOOST_TEST((fixture.answers.at(waiter).ran == Ran::No));
    BOOST_TEST((fixture.answers.at(copy).ran == Ran::No));
    BOOST_TEST(fixture.attempts.size() == fixture.limits.attempts);
}

BOOST_AUTO_TEST_CASE(anEndOfAnEarlierAttemptChangesNothing)
{
    Fixture fixture;
    const std::uint64_t waiter = fixture.send(fixture.issuer.issue(origin), 0ms);
    const OnceAttempt first = fixture.attempts.back();
    fixture.end(AttemptEnd::End::NotSent, 1ms);
    fixture.table->onAttemptEnd(
        origin + 2ms, {first.attempt, AttemptEnd::End::NotSent, Errc::Refused, 0, {}, Duration{0}}, fixture.actions);
    fixture.collect();
    BOOST_TEST(fixture.attempts.size() == 2U);
    BOOST_TEST(!fixture.answers.contains(waiter));
    BOOST_TEST(fixture.table->counters().droppedEnds == 1U);
}

BOOST_AUTO_TEST_CASE(aWaitingCopyGetsUnknownAtItsDeadlineAndTheLateAnswerIsKept)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    const std::uint64_t waiter = fixture.send(ticket, 0ms);
    BOOST_TEST((fixture.attempts.back().deadline == origin + 1s - fixture.limits.answerMargin));
    fixture.table->onTimer(origin + 1s, fixture.actions);
    fixture.collect();
    BOOST_TEST((fixture.answers.at(waiter).ran == Ran::Unknown));
    fixture.end(AttemptEnd::End::MaybeSent, 2s);
    fixture.end(AttemptEnd::End::Answered, 3s, "late");
    const std::uint64_t copy = fixture.send(ticket, 4s);
    BOOST_TEST((fixture.answers.at(copy).ran == Ran::Yes));
    BOOST_TEST(*fixture.answers.at(copy).body == "late");
}

BOOST_AUTO_TEST_CASE(expiredTicketsAreNotRunWhileThatIsProvableAndUnknownAfterwards)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    const Ticket used = fixture.issuer.issue(origin);
    fixture.send(used, 0ms);
    fixture.end(AttemptEnd::End::Answered, 1ms);
    const std::uint64_t expired = fixture.send(ticket, 60s);
    const std::uint64_t forgotten = fixture.send(ticket, 60s + fixture.limits.keepAfterExpiry);
    const std::uint64_t usedAgain = fixture.send(used, 60s + fixture.limits.keepAfterExpiry);
    BOOST_TEST((fixture.answers.at(expired).ran == Ran::No));
    BOOST_TEST((fixture.answers.at(forgotten).ran == Ran::Unknown));
    BOOST_TEST((fixture.answers.at(usedAgain).ran == Ran::Unknown));
    BOOST_TEST(fixture.attempts.size() == 1U);
    BOOST_TEST(fixture.table->remembered() == 0U);
}

BOOST_AUTO_TEST_CASE(aCopyThatOutlivesItsRecordIsNotToldThatNothingWasStarted)
{
    Fixture fixture;
    TicketIssuer shortLived(ownLife, 10ms);
    fixture.limits.keepAfterExpiry = 10ms;
    fixture.table = OnceTable::Builder().origin(ownLife).limits(fixture.limits).build().value();
    const std::uint64_t waiter = fixture.send(shortLived.issue(origin), 0ms);
    fixture.table->onTimer(origin + 20ms, fixture.actions);
    fixture.collect();
    BOOST_TEST((fixture.answers.at(waiter).ran == Ran::Unknown));
    BOOST_TEST((fixture.answers.at(waiter).error == Errc::OutcomeUnknown));
    fixture.end(AttemptEnd::End::Answered, 21ms);
    BOOST_TEST(fixture.answers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(timeNeverGoesBackInside)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    const std::uint64_t expired = fixture.send(ticket, 61s);
    const std::uint64_t earlier = fixture.send(ticket, 1s);
    BOOST_TEST((fixture.answers.at(expired).ran == Ran::No));
    BOOST_TEST((fixture.answers.at(earlier).ran == Ran::No));
    BOOST_TEST(fixture.attempts.empty());
}

BOOST_AUTO_TEST_CASE(ticketsOfOtherLivesAreUnknown)
{
    Fixture fixture;
    for (const TicketOrigin &life : {TicketOrigin{DaemonId{1}, Incarnation{4}, 99},
                                     TicketOrigin{DaemonId{1}, Incarnation{5}, 98},
                                     TicketOrigin{DaemonId{2}, Incarnation{5}, 99}}) {
        TicketIssuer other(life, 60s);
        const std::uint64_t waiter = fixture.send(other.issue(origin), 0ms);
        BOOST_TEST((fixture.answers.at(waiter).ran == Ran::Unknown));
    }
    BOOST_TEST(fixture.attempts.empty());
}

BOOST_AUTO_TEST_CASE(aFullTableRefusesForGoodInBoundedMemory)
{
    OnceLimits limits;
    limits.records = 2;
    limits.refusals = 3;
    Fixture fixture(limits);
    std::vector<Ticket> tickets(20);
    std::generate(tickets.begin(), tickets.end(), [&fixture] { return fixture.issuer.issue(origin); });
    for (const Ticket &ticket : tickets) {
        fixture.send(ticket, 0ms);
        BOOST_TEST(fixture.table->remembered() <= limits.records + limits.refusals);
    }
    BOOST_TEST(fixture.attempts.size() == 2U);
    fixture.end(AttemptEnd::End::Answered, 1ms);
    for (std::size_t i = 2; i < tickets.size(); ++i) {
        const std::uint64_t copy = fixture.send(tickets[i], 2ms);
        BOOST_TEST((fixture.answers.at(copy).ran == Ran::No));
    }
    BOOST_TEST(fixture.attempts.size() == 2U);
    BOOST_TEST((fixture.answers.at(fixture.send(tickets[1], 3ms)).ran == Ran::Yes));
}

BOOST_AUTO_TEST_CASE(roomForAnswersIsReservedBeforeTheyRun)
{
    OnceLimits limits;
    limits.largestAnswer = 10;
    limits.answerBytes = 25;
    Fixture fixture(limits);
    fixture.send(fixture.issuer.issue(origin), 0ms);
    fixture.send(fixture.issuer.issue(origin), 0ms);
    const std::uint64_t third = fixture.send(fixture.issuer.issue(origin), 0ms);
    BOOST_TEST((fixture.answers.at(third).error == Errc::Overloaded));
}

BOOST_AUTO_TEST_CASE(anAnswerTooLargeToKeepStillReachesTheCopiesThatWait)
{
    OnceLimits limits;
    limits.largestAnswer = 10;
    Fixture fixture(limits);
    const Ticket ticket = fixture.issuer.issue(origin);
    const std::uint64_t first = fixture.send(ticket, 0ms);
    fixture.end(AttemptEnd::End::Answered, 1ms, std::string(11, 'x'));
    const std::uint64_t copy = fixture.send(ticket, 2ms);
    BOOST_TEST(fixture.answers.at(first).body->size() == 11U);
    BOOST_TEST((fixture.answers.at(copy).ran == Ran::Yes));
    BOOST_TEST((fixture.answers.at(copy).body == nullptr));
}

BOOST_AUTO_TEST_CASE(aStoppingOwnerAnswersCopiesAndStartsNothing)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    const std::uint64_t running = fixture.send(ticket, 0ms);
    fixture.table->stopAccepting();
    const std::uint64_t fresh = fixture.send(fixture.issuer.issue(origin), 1ms);
    fixture.end(AttemptEnd::End::Answered, 2ms, "done");
    BOOST_TEST((fixture.answers.at(fresh).error == Errc::Draining));
    BOOST_TEST((fixture.answers.at(fresh).ran == Ran::No));
    BOOST_TEST((fixture.answers.at(running).ran == Ran::Yes));
}

BOOST_AUTO_TEST_CASE(anotherContentUnderTheSameKeyIsRefused)
{
    Fixture fixture;
    const Ticket ticket = fixture.issuer.issue(origin);
    fixture.send(ticket, 0ms, 1);
    const std::uint64_t other = fixture.send(ticket, 1ms, 2);
    BOOST_TEST((fixture.answers.at(other).error == Errc::InvalidRequest));
    BOOST_TEST((fixture.answers.at(other).ran == Ran::No));
}

} // namespace sassafrasvane
