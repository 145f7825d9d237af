#include "admission/crashbar.h"
#include "crashmodel.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{100s};
constexpr SearcherId server{7};
constexpr Fingerprint bad{1};
constexpr Fingerprint good{2};

struct Command {
    std::uint32_t kind = 0;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

std::ostream &operator<<(std::ostream &stream, const Command &command)
{
    return stream << "{" << command.kind << ", " << command.first << ", " << command.second << "}";
}

rc::Gen<std::vector<Command>> commandSequences()
{
    const rc::Gen<Command> command = rc::gen::construct<Command>(rc::gen::inRange<std::uint32_t>(0, 16),
                                                                 rc::gen::inRange<std::uint32_t>(0, 64),
                                                                 rc::gen::inRange<std::uint32_t>(0, 64));
    return rc::gen::scale(5, rc::gen::container<std::vector<Command>>(command));
}

std::vector<Fingerprint> innocentsOf(std::uint32_t number)
{
    std::vector<Fingerprint> innocents;
    for (std::uint32_t i = 0; i < 4; ++i) {
        if ((number >> i) % 2 == 1) {
            innocents.push_back(Fingerprint{10 + i});
        }
    }
    return innocents;
}

/// Applies \p command. \return false if an innocent request was barred.
bool apply(CrashModel &model, const Command &command, bool hasRestarts)
{
    const std::size_t first = command.first % model.daemons();
    const std::size_t second = command.second % model.daemons();
    switch (command.kind) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        model.sendBad(first, innocentsOf(command.second));
        return true;
    case 5:
        model.failServer(command.first, innocentsOf(command.second));
        return true;
    case 6:
    case 7:
    case 8:
        return model.sendInnocent(first, Fingerprint{10 + command.second % 4});
    case 9:
    case 10:
    case 11:
        model.spread(first, second, 1 + command.second % 3);
        return true;
    case 12:
        if (hasRestarts) {
            model.restart(first);
        }
        return true;
    default:
        model.advance(10ms * command.first);
        return true;
    }
}

std::vector<Fingerprint> onlyRequest(Fingerprint fingerprint)
{
    return {fingerprint};
}

} // namespace

RC_BOOST_PROP(serversLostToOneRequestAreBounded, ())
{
    const std::size_t daemons = *rc::gen::inRange<std::size_t>(1, 24);
    CrashModel model(daemons, *rc::gen::arbitrary<std::uint64_t>());
    for (const Command &command : *commandSequences()) {
        apply(model, command, true);
        const std::size_t bound = CrashBar::crashesToBar() * (1 + model.memoryLosses()) + model.coincidences();
        RC_ASSERT(model.crashes() <= bound);
    }
    RC_CLASSIFY(model.crashes() >= CrashBar::strongCrashesToBar(), "barred");
}

BOOST_AUTO_TEST_CASE(boundDoesNotGrowWithDaemonsOrRetries)
{
    for (const std::size_t daemons : {1, 8, 420}) {
        CrashModel model(daemons, daemons);
        // The caller sends the request every 10 ms for five minutes, each time to another daemon, and the daemons
        // exchange no messages.
        for (std::size_t i = 0; i < 30'000; ++i) {
            model.sendBad(i % daemons, innocentsOf(static_cast<std::uint32_t>(i)));
            model.advance(10ms);
        }
        BOOST_TEST(model.crashes() >= CrashBar::strongCrashesToBar());
        BOOST_TEST(model.crashes() <= CrashBar::crashesToBar());
    }
}

RC_BOOST_PROP(innocentRequestsAreNeverBarredBesideABadOne, ())
{
    CrashModel model(*rc::gen::inRange<std::size_t>(1, 8), *rc::gen::arbitrary<std::uint64_t>());
    for (const Command &command : *commandSequences()) {
        const bool isServerFailure = command.kind == 5;
        if (!isServerFailure) {
            RC_ASSERT(apply(model, command, false));
        }
    }
}

RC_BOOST_PROP(mergeIsCommutativeAndIdempotent, ())
{
    const rc::Gen<CrashEntry> entry
        = rc::gen::construct<CrashEntry>(rc::gen::construct<Fingerprint>(rc::gen::inRange<std::uint64_t>(1, 4)),
                                         rc::gen::inRange<std::uint64_t>(1, 6),
                                         rc::gen::arbitrary<bool>(),
                                         rc::gen::arbitrary<bool>(),
                                         rc::gen::construct<Duration>(rc::gen::inRange<Duration::rep>(1, 1000)));
    const std::vector<CrashEntry> first = *rc::gen::container<std::vector<CrashEntry>>(entry);
    const std::vector<CrashEntry> second = *rc::gen::container<std::vector<CrashEntry>>(entry);
    CrashBar left(1);
    CrashBar right(2);
    left.merge(origin, first);
    left.merge(origin, second);
    right.merge(origin, second);
    right.merge(origin, first);
    right.merge(origin, second);
    for (Duration after{0}; after <= Duration{1000}; after += Duration{50}) {
        for (std::uint64_t fingerprint = 1; fingerprint < 4; ++fingerprint) {
            RC_ASSERT(left.check(origin + after, Fingerprint{fingerprint})
                      == right.check(origin + after, Fingerprint{fingerprint}));
        }
    }
}

BOOST_AUTO_TEST_CASE(unknownRequestIsProbedAndASuccessLetsItRun)
{
    CrashBar bar(1);
    BOOST_TEST((bar.check(origin, good) == CrashVerdict::ProbeFirst));
    bar.onSuccess(origin, good);
    BOOST_TEST((bar.check(origin, good) == CrashVerdict::Run));
    BOOST_TEST((bar.check(origin + CrashBar::successLifetime(), good) == CrashVerdict::ProbeFirst));
}

BOOST_AUTO_TEST_CASE(suspectIsBarredAfterTwoStrongCrashesAndForATime)
{
    CrashBar bar(1);
    bar.onServerLost(origin, server, onlyRequest(bad));
    BOOST_TEST((bar.check(origin, bad) == CrashVerdict::Wait));
    const TimePoint second = origin + CrashBar::suspectPause();
    BOOST_TEST((bar.check(second, bad) == CrashVerdict::Suspect));
    bar.onServerLost(second, server, onlyRequest(bad));
    BOOST_TEST((bar.check(second, bad) == CrashVerdict::Barred));
    BOOST_TEST((bar.check(origin + CrashBar::entryLifetime(), bad) == CrashVerdict::Suspect));
    bar.onTimer(second + CrashBar::entryLifetime());
    BOOST_TEST(bar.size() == 0U);
}

BOOST_AUTO_TEST_CASE(innocentNeighbourIsSuspectedUntilItSucceeds)
{
    CrashBar bar(1);
    bar.onSuccess(origin, good);
    bar.onServerLost(origin, server, std::vector<Fingerprint>{good, bad});
    const TimePoint later = origin + 2s;
    BOOST_TEST((bar.check(later, good) == CrashVerdict::Suspect));
    BOOST_TEST(!bar.mayRunAlongside(later, bad, onlyRequest(good)));
    bar.onSuccess(later, good);
    BOOST_TEST((bar.check(later, good) == CrashVerdict::Run));
    BOOST_TEST(bar.mayRunAlongside(later, bad, onlyRequest(good)));
}

BOOST_AUTO_TEST_CASE(lossOfManyServersBarsNothing)
{
    CrashBar bar(1);
    TimePoint now = origin;
    for (std::uint32_t round = 0; round < 5; ++round) {
        for (std::uint32_t i = 0; i < 20; ++i) {
            bar.onServerLost(now, SearcherId{i}, i < 2 ? std::vector<Fingerprint>{} : onlyRequest(good));
        }
        now += 2s;
        BOOST_TEST((bar.check(now, good) == CrashVerdict::Suspect));
    }
}

BOOST_AUTO_TEST_CASE(changesTravelWithTheirExpiryAndClearances)
{
    CrashBar first(1);
    CrashBar second(2);
    first.onServerLost(origin, server, onlyRequest(bad));
    first.onServerLost(origin + 2s, server, onlyRequest(bad));
    const std::vector<CrashEntry> entries = first.changes(origin + 2s, 0);
    BOOST_TEST(entries.size() == 2U);
    BOOST_TEST(second.merge(origin + 3s, entries));
    BOOST_TEST(!second.merge(origin + 3s, entries));
    BOOST_TEST((second.check(origin + 3s, bad) == CrashVerdict::Barred));
    const std::uint64_t sentVersion = first.version();
    BOOST_TEST(first.changes(origin + 3s, sentVersion).empty());
    first.onSuccess(origin + 4s, bad);
    BOOST_TEST(second.merge(origin + 4s, first.changes(origin + 4s, sentVersion)));
    // A delayed copy from before the success changes nothing.
    BOOST_TEST(!second.merge(origin + 5s, entries));
    BOOST_TEST((second.check(origin + 5s, bad) == CrashVerdict::ProbeFirst));
}

BOOST_AUTO_TEST_CASE(requestLostWithManyServersIsBarredAtOnceUnlessItHasSucceeded)
{
    CrashBar bar(1);
    const std::vector<CrashEntry> added = bar.onRequestLost(origin, bad, 10, origin);
    BOOST_TEST(added.size() == CrashBar::strongCrashesToBar());
    BOOST_TEST((bar.check(origin, bad) == CrashVerdict::Barred));
    CrashBar other(2);
    BOOST_TEST(other.merge(origin, added));
    BOOST_TEST((other.check(origin, bad) == CrashVerdict::Barred));

    bar.onSuccess(origin, good);
    bar.onRequestLost(origin, good, 10, origin);
    BOOST_TEST((bar.check(origin + 2s, good) == CrashVerdict::Suspect));
}

BOOST_AUTO_TEST_CASE(requestLostWithOneServerIsBarredAtTheSecondTime)
{
    CrashBar bar(1);
    bar.onRequestLost(origin, bad, 1, origin);
    BOOST_TEST((bar.check(origin, bad) != CrashVerdict::Barred));
    bar.onRequestLost(origin + 10ms, bad, 1, origin + 10ms);
    BOOST_TEST((bar.check(origin + 10ms, bad) == CrashVerdict::Barred));
}

// Guards against an answer of a former software version that keeps a request from ever being barred.
BOOST_AUTO_TEST_CASE(requestThatHasSucceededIsBarredWhenItLosesServersAgain)
{
    CrashBar bar(1);
    bar.onSuccess(origin, bad);
    bar.onRequestLost(origin, bad, 2, origin);
    BOOST_TEST((bar.check(origin, bad) != CrashVerdict::Barred));
    const TimePoint again = origin + CrashBar::suspectPause();
    bar.onRequestLost(again, bad, 1, again);
    BOOST_TEST((bar.check(again, bad) != CrashVerdict::Barred));
    bar.onRequestLost(again, bad, 1, again);
    BOOST_TEST((bar.check(again, bad) == CrashVerdict::Barred));
}

// Servers that fail by themselves, at once or with answers in between, must not bar what they ran.
BOOST_AUTO_TEST_CASE(requestThatHasSucceededIsNotBarredByServersThatFailTogetherOrByASuccessInBetween)
{
    CrashBar bar(1);
    bar.onSuccess(origin, good);
    // Requests that lost their servers at one moment end at different times.
    for (int i = 0; i < 20; ++i) {
        bar.onRequestLost(origin + i * 500ms, good, 2, origin + i * 10ms);
    }
    BOOST_TEST((bar.check(origin + 10s, good) == CrashVerdict::Suspect));
    for (int i = 0; i < 20; ++i) {
        const TimePoint now = origin + 20s + i * 2s;
        bar.onSuccess(now - 1s, good);
        bar.onRequestLost(now, good, 2, now);
        BOOST_TEST((bar.check(now + 1s, good) == CrashVerdict::Suspect));
    }
}

BOOST_AUTO_TEST_CASE(sizeIsBoundedAndBarredRequestsStay)
{
    CrashBar bar(1);
    bar.onServerLost(origin, server, onlyRequest(bad));
    bar.onServerLost(origin + 2s, server, onlyRequest(bad));
    for (std::uint64_t i = 100; i < 100 + 2 * CrashBar::maxSuspects(); ++i) {
        bar.onServerLost(origin + 3s, server, onlyRequest(Fingerprint{i}));
    }
    BOOST_TEST(bar.size() == CrashBar::maxSuspects());
    BOOST_TEST((bar.check(origin + 3s, bad) == CrashVerdict::Barred));
}

} // namespace sassafrasvane
