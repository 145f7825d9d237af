#include "gatefleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

enum class Kind {
    Offer,
    OfferMany,
    Serve,
    Answer,
    Fail,
    Refuse,
    DeliverResult,
    QuickRestart,
    SlowRestart,
    ShortTime,
    LongTime,
    TogglePause,
    Publish,
    DeliverMessage,
    CheckHealth,
    ChangeTable,
    ApplyTable,
};

/// One step of a random history: the event, the index of its daemon or call, and a numeric argument.
struct Command {
    Kind kind = Kind::Offer;
    std::uint32_t where = 0;
    std::uint32_t amount = 0;
};

std::ostream &operator<<(std::ostream &stream, const Command &command)
{
    return stream << "{" << static_cast<int>(command.kind) << ", " << command.where << ", " << command.amount << "}";
}

rc::Gen<std::vector<Command>> histories()
{
    const rc::Gen<Kind> kind = rc::gen::weightedElement<Kind>({{4, Kind::Offer},
                                                               {6, Kind::OfferMany},
                                                               {12, Kind::Serve},
                                                               {3, Kind::Answer},
                                                               {1, Kind::Fail},
                                                               {1, Kind::Refuse},
                                                               {3, Kind::DeliverResult},
                                                               {2, Kind::QuickRestart},
                                                               {1, Kind::SlowRestart},
                                                               {3, Kind::ShortTime},
                                                               {1, Kind::LongTime},
                                                               {2, Kind::TogglePause},
                                                               {6, Kind::Publish},
                                                               {8, Kind::DeliverMessage},
                                                               {3, Kind::CheckHealth},
                                                               {1, Kind::ChangeTable},
                                                               {1, Kind::ApplyTable}});
    const rc::Gen<Command> command = rc::gen::construct<Command>(
        kind, rc::gen::inRange<std::uint32_t>(0, 12), rc::gen::inRange<std::uint32_t>(0, 2000));
    return rc::gen::scale(4, rc::gen::container<std::vector<Command>>(command));
}

/// Applies a command that concerns calls. \return false if it does not.
bool applyToCalls(GateFleet &fleet, const Command &command)
{
    const std::size_t daemon = command.where % fleet.daemons();
    const bool isOdd = command.amount % 2 == 1;
    const bool isDelayed = command.amount % 4 == 0;
    switch (command.kind) {
    case Kind::Offer:
        fleet.offer(daemon, 1ms * (1 + command.amount), command.amount % 3 == 0);
        return true;
    case Kind::OfferMany:
        for (Duration::rep i = 0; i < 8; ++i) {
            fleet.offer(daemon, 100us * (1 + command.amount + i), false);
        }
        return true;
    case Kind::Serve:
        fleet.serve(daemon, 1 + command.amount % 40);
        return true;
    case Kind::Answer:
        fleet.end(command.where, GateResult::End::Answered, false, false, isDelayed);
        return true;
    case Kind::Fail:
        fleet.end(command.where, GateResult::End::Failed, false, isOdd, isDelayed);
        return true;
    case Kind::Refuse:
        fleet.end(command.where, GateResult::End::Refused, isOdd, false, isDelayed);
        return true;
    case Kind::DeliverResult:
        fleet.deliverResult(command.where);
        return true;
    default:
        return false;
    }
}

void applyToEnvironment(GateFleet &fleet, const Command &command)
{
    const std::size_t daemon = command.where % fleet.daemons();
    const bool isOdd = command.amount % 2 == 1;
    switch (command.kind) {
    case Kind::QuickRestart:
        fleet.restart(1ms * (command.amount % 100), isOdd);
        break;
    case Kind::SlowRestart:
        fleet.restart(2ms * command.amount, isOdd);
        break;
    case Kind::ShortTime:
        fleet.advance(10us * command.amount);
        break;
    case Kind::LongTime:
        fleet.advance(4ms * command.amount);
        break;
    case Kind::TogglePause:
        fleet.togglePause(daemon);
        break;
    case Kind::Publish:
        fleet.publish(daemon);
        break;
    case Kind::DeliverMessage:
        fleet.deliverMessage(command.amount, daemon, command.amount % 3 != 0);
        break;
    case Kind::CheckHealth:
        fleet.checkHealth(daemon, 1us * command.amount);
        break;
    case Kind::ChangeTable:
        fleet.changeTable(command.amount % 5);
        break;
    default:
        fleet.applyTableAt(daemon);
        break;
    }
}

} // namespace

RC_BOOST_PROP(sumOfAllHoldersStaysWithinSlotsAndColdAllowance, ())
{
    const std::uint32_t holders = *rc::gen::inRange<std::uint32_t>(2, 5);
    const std::uint32_t spare = *rc::gen::inRange<std::uint32_t>(0, 2);
    const std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(1, 9);
    const std::uint32_t cold = *rc::gen::inRange<std::uint32_t>(1, 1 + (slots + 1) / 2);
    const std::vector<Command> history = *histories();
    GateFleet fleet(holders + spare, holders, slots, cold);
    for (const Command &command : history) {
        if (!applyToCalls(fleet, command)) {
            applyToEnvironment(fleet, command);
        }
    }
    fleet.drain();
    RC_CLASSIFY(fleet.startedCalls() > 100, "over 100 calls started");
    RC_CLASSIFY(fleet.earnedAllowance() > cold, "ends in a warmed server");
}

BOOST_AUTO_TEST_CASE(holderWithoutShareStartsOnlyAfterAPeersReport)
{
    GateFleet fleet(2, 2, 2, 1);
    fleet.offer(1, 100ms, false);
    BOOST_TEST(fleet.startedCalls() == 0U);
    BOOST_TEST(fleet.concurrency(0) == 1U);
    BOOST_TEST(fleet.concurrency(1) == 0U);
    fleet.serve(0, ColdStart::successesPerStep());
    fleet.publish(0);
    fleet.deliverMessage(0, 1, false);
    BOOST_TEST(fleet.concurrency(1) == 1U);
    fleet.advance(ColdStart::confirmationLifetime() + 1s);
    BOOST_TEST(fleet.concurrency(1) == 0U);
}

BOOST_AUTO_TEST_CASE(warmServerThatWasSilentIsUsedInFullAfterOneAnswer)
{
    GateFleet fleet(1, 1, 8, 1);
    fleet.serve(0, std::size_t{3} * ColdStart::successesPerStep());
    BOOST_TEST(fleet.concurrency(0) == 8U);
    fleet.advance(ColdStart::confirmationLifetime() + 1s);
    BOOST_TEST(fleet.concurrency(0) == 1U);
    fleet.serve(0, 1);
    BOOST_TEST(fleet.concurrency(0) == 8U);
    fleet.restart(1ms, false);
    fleet.serve(0, 1);
    BOOST_TEST(fleet.concurrency(0) == 1U);
}

} // namespace sassafrasvane
