#include "fakefleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Maximum time to converge after all faults have stopped.
constexpr Duration convergenceBound = 60s;

/// Model of the fleet: the expected state, independent of the implementation.
struct Oracle {
    std::size_t size = 0;
    std::vector<bool> running;
    bool isNewestValid = true;
};

using FleetCommand = rc::state::Command<Oracle, FakeFleet>;

/// Draws the number of a daemon in the fleet.
std::size_t drawNumber(const Oracle &oracle)
{
    return *rc::gen::inRange<std::size_t>(0, oracle.size);
}

void checkAlways(FakeFleet &fleet)
{
    RC_ASSERT(fleet.counters().reverts == 0U);
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        const FakeDaemon &daemon = fleet.daemon(number);
        const std::shared_ptr<const std::string> text = daemon.distributor->text(ConfigKey::Configuration);
        RC_ASSERT((!text || FakeFleet::isValid(*text)));
    }
}

struct RunFor : FleetCommand {
    Duration duration{std::chrono::milliseconds(*rc::gen::element(20, 300, 2'000, 15'000))};

    void apply(Oracle &) const override { }
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        fleet.run(duration);
        checkAlways(fleet);
    }
    void show(std::ostream &os) const override { os << "run " << duration.count() / 1000 << " ms"; }
};

struct Kill : FleetCommand {
    std::size_t number;

    explicit Kill(const Oracle &oracle) : number(drawNumber(oracle)) { }
    void checkPreconditions(const Oracle &oracle) const override
    {
        RC_PRE(oracle.running[number]);
        RC_PRE(std::count(oracle.running.begin(), oracle.running.end(), true) > 1);
    }
    void apply(Oracle &oracle) const override { oracle.running[number] = false; }
    void run(const Oracle &, FakeFleet &fleet) const override { fleet.kill(number); }
    void show(std::ostream &os) const override { os << "kill " << number; }
};

struct Depart : Kill {
    using Kill::Kill;
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        fleet.setPaused(number, false);
        fleet.act(number,
                  [&fleet](Membership &member, MembershipActions &actions) { member.leave(fleet.now(), actions); });
        fleet.run(100ms);
        fleet.act(number,
                  [&fleet](Membership &member, MembershipActions &actions) { member.depart(fleet.now(), actions); });
        fleet.kill(number);
    }
    void show(std::ostream &os) const override { os << "depart " << number; }
};

struct Start : FleetCommand {
    std::size_t number;
    Duration clockError{std::chrono::minutes(*rc::gen::element(0, 0, -20, 20))};

    explicit Start(const Oracle &oracle) : number(drawNumber(oracle)) { }
    void checkPreconditions(const Oracle &oracle) const override { RC_PRE(!oracle.running[number]); }
    void apply(Oracle &oracle) const override { oracle.running[number] = true; }
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        fleet.run(1ms);
        fleet.start(number, clockError);
    }
    void show(std::ostream &os) const override { os << "start " << number << " clock error " << clockError.count(); }
};

struct Pause : FleetCommand {
    std::size_t number;
    bool isPaused = *rc::gen::arbitrary<bool>();

    explicit Pause(const Oracle &oracle) : number(drawNumber(oracle)) { }
    void apply(Oracle &) const override { }
    void run(const Oracle &, FakeFleet &fleet) const override { fleet.setPaused(number, isPaused); }
    void show(std::ostream &os) const override { os << (isPaused ? "pause " : "resume ") << number; }
};

struct Network : FleetCommand {
    double loss = *rc::gen::element(0.0, 0.05, 0.3);
    unsigned sides = *rc::gen::inRange(0U, 256U);
    unsigned cutOffService = *rc::gen::element(0U, 0U, 0x55U, 0xffU);

    void apply(Oracle &) const override { }
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        const unsigned mask = sides;
        const unsigned cut = cutOffService;
        fleet.network().loss = loss;
        fleet.network().isCut
            = [mask](std::size_t from, std::size_t to) { return ((mask >> from) & 1U) != ((mask >> to) & 1U); };
        fleet.network().isServiceCut = [cut](std::size_t number) { return ((cut >> number) & 1U) != 0; };
    }
    void show(std::ostream &os) const override
    {
        os << "network loss " << loss << " sides " << sides << " no service " << cutOffService;
    }
};

struct Publish : FleetCommand {
    bool isValid = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
    std::string text = *rc::gen::arbitrary<std::string>();

    void apply(Oracle &oracle) const override { oracle.isNewestValid = isValid; }
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        fleet.publish(ConfigKey::Configuration, (isValid ? "valid " : "invalid ") + text);
    }
    void show(std::ostream &os) const override { os << "publish " << (isValid ? "valid" : "invalid"); }
};

struct Service : FleetCommand {
    bool isDown = *rc::gen::arbitrary<bool>();
    std::uint64_t versionsBack = *rc::gen::inRange<std::uint64_t>(0, 3);

    void apply(Oracle &) const override { }
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        fleet.setServiceDown(isDown);
        fleet.setServiceStale(versionsBack);
    }
    void show(std::ostream &os) const override { os << "service down " << isDown << " back " << versionsBack; }
};

/// A message from an earlier incarnation and one signed with another key are refused and change nothing.
struct Refused : FleetCommand {
    std::size_t number;
    std::size_t other;

    explicit Refused(const Oracle &oracle) : number(drawNumber(oracle)), other(drawNumber(oracle)) { }
    void checkPreconditions(const Oracle &oracle) const override { RC_PRE(number != other && oracle.running[number]); }
    void apply(Oracle &) const override { }
    void run(const Oracle &, FakeFleet &fleet) const override
    {
        FakeDaemon &daemon = fleet.daemon(number);
        const std::vector<Member> before = daemon.membership->members();
        const MemberRecord self = daemon.membership->self();
        for (const Member &member : before) {
            if (member.record.daemon == fleet.daemon(other).record.daemon) {
                refuseEarlierIncarnation(fleet, member.record);
            }
        }
        const Address from = peerAddress(fleet.daemon(other).record.daemon);
        RC_ASSERT(!daemon.codec->decode(from, GossipCodec::sign("another key", "\x01 some bytes")).has_value());
        const std::vector<Member> after = daemon.membership->members();
        RC_ASSERT(daemon.membership->self() == self);
        RC_ASSERT(before.size() == after.size());
        for (std::size_t index = 0; index < before.size(); ++index) {
            RC_ASSERT(before[index].record == after[index].record);
        }
    }
    void refuseEarlierIncarnation(FakeFleet &fleet, const MemberRecord &known) const
    {
        GossipMessage message;
        message.sender = known;
        message.sender.incarnation = Incarnation{known.incarnation.value - 1};
        message.sender.sequence = 100;
        message.receiver = fleet.daemon(number).record.daemon;
        MemberRecord deathReport = known;
        deathReport.state = MemberState::Dead;
        message.records.push_back(deathReport);
        fleet.act(number, [&fleet, &message](Membership &membership, MembershipActions &actions) {
            RC_ASSERT(!membership.handle(fleet.now(), message, actions).has_value());
            actions.sends.clear();
        });
    }
    void show(std::ostream &os) const override { os << "refused " << number << " from " << other; }
};

/// Ends all faults. All daemons must then converge on the same members and the same version, which is not below any
/// version that a running daemon had.
struct Converge : FleetCommand {
    void apply(Oracle &) const override { }
    void run(const Oracle &oracle, FakeFleet &fleet) const override
    {
        ConfigVersion highest;
        fleet.network() = {};
        fleet.setServiceDown(false);
        fleet.setServiceStale(0);
        for (std::size_t number = 0; number < fleet.size(); ++number) {
            fleet.setPaused(number, false);
            if (oracle.running[number]) {
                highest = std::max(highest, fleet.daemon(number).distributor->version(ConfigKey::Configuration));
            }
        }
        fleet.run(convergenceBound);
        checkAlways(fleet);
        RC_ASSERT(fleet.hasConverged());
        RC_ASSERT((!oracle.isNewestValid || fleet.isInForce(ConfigKey::Configuration)));
        std::optional<ConfigVersion> common;
        for (std::size_t number = 0; number < fleet.size(); ++number) {
            if (!oracle.running[number]) {
                continue;
            }
            const ConfigVersion version = fleet.daemon(number).distributor->version(ConfigKey::Configuration);
            RC_ASSERT(version >= highest);
            RC_ASSERT(version == common.value_or(version));
            common = version;
        }
    }
    void show(std::ostream &os) const override { os << "converge"; }
};

} // namespace

RC_BOOST_PROP(fleetAgreesAfterAnyFaultsAndNeverReverts, ())
{
    Oracle oracle;
    oracle.size = *rc::gen::inRange<std::size_t>(2, 9);
    oracle.running.assign(oracle.size, true);
    const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
    FakeFleet fleet(oracle.size, seed);
    fleet.publishVms();
    fleet.publish(ConfigKey::ShardMap, "map");
    fleet.publish(ConfigKey::Configuration, "valid");
    fleet.startAll();
    rc::state::check(oracle,
                     fleet,
                     rc::state::gen::execOneOfWithArgs<RunFor,
                                                       RunFor,
                                                       Kill,
                                                       Depart,
                                                       Start,
                                                       Pause,
                                                       Network,
                                                       Publish,
                                                       Service,
                                                       Refused,
                                                       Converge>());
}

BOOST_AUTO_TEST_CASE(leavingDaemonTakesNoNewWorkWithinThreeSeconds)
{
    FakeFleet fleet(60, 3);
    fleet.publishVms();
    fleet.publish(ConfigKey::ShardMap, "map");
    fleet.publish(ConfigKey::Configuration, "one");
    fleet.startAll();
    fleet.run(60s);
    BOOST_REQUIRE(fleet.hasConverged());
    fleet.network().loss = 0.05;
    fleet.act(7, [&fleet](Membership &member, MembershipActions &actions) { member.leave(fleet.now(), actions); });
    fleet.run(3s);
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        for (const Member &member : fleet.daemon(number).membership->members()) {
            if (member.record.daemon == fleet.daemon(7).record.daemon) {
                BOOST_TEST(!member.takesWork());
            }
        }
    }
}

} // namespace sassafrasvane
