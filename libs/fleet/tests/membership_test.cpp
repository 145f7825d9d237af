#include "fleet/membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000'000}};

MemberRecord recordOf(std::uint32_t number, std::uint64_t incarnation = 100)
{
    MemberRecord record;
    record.daemon = daemonId({0x7f000001 + number, 7000});
    record.incarnation = Incarnation{incarnation};
    record.callerAddress = {0x7f000001 + number, 8000};
    record.failureDomain = number % 2 == 0 ? "north" : "south";
    record.region = "nairobi";
    return record;
}

Membership membershipOf(std::uint32_t number, std::uint64_t incarnation = 100)
{
    return Membership::Builder().self(recordOf(number, incarnation)).seed(number + 1).build(origin);
}

GossipMessage pingOf(const MemberRecord &sender, DaemonId receiver)
{
    GossipMessage message;
    message.sender = sender;
    message.receiver = receiver;
    message.probe = 7;
    message.target = receiver;
    return message;
}

MemberState stateOf(const Membership &membership, DaemonId daemon)
{
    for (const Member &member : membership.members()) {
        if (member.record.daemon == daemon) {
            return member.record.state;
        }
    }
    return MemberState::Left;
}

} // namespace

BOOST_AUTO_TEST_CASE(pingIsAnsweredAndIntroducesItsSender)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    const MemberRecord peer = recordOf(1);
    BOOST_TEST(membership.handle(origin, pingOf(peer, membership.self().daemon), actions).has_value());
    BOOST_REQUIRE(actions.sends.size() == 1U);
    BOOST_TEST((actions.sends[0].message.kind == GossipKind::Ack));
    BOOST_TEST(actions.sends[0].message.probe == 7U);
    BOOST_TEST((stateOf(membership, peer.daemon) == MemberState::Alive));
    BOOST_TEST(actions.changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(messageOfAnEarlierIncarnationIsRefusedAndItsSenderToldOfTheLaterOne)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    BOOST_TEST(membership.handle(origin, pingOf(recordOf(1, 200), membership.self().daemon), actions).has_value());
    actions.clear();
    const Result<void> result = membership.handle(origin, pingOf(recordOf(1, 150), membership.self().daemon), actions);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().errc() == Errc::StaleIncarnation));
    BOOST_TEST((result.error().step == Step::Gossip));
    BOOST_TEST(result.error().peer == "127.0.0.2:7000");
    BOOST_TEST(membership.refusals().at(Errc::StaleIncarnation) == 1U);
    BOOST_TEST(actions.changes.empty());
    BOOST_REQUIRE(actions.sends.size() == 1U);

    Membership restarted = membershipOf(1, 150);
    MembershipActions own;
    BOOST_TEST(restarted.handle(origin, actions.sends[0].message, own).has_value());
    BOOST_REQUIRE(own.ownIncarnation.has_value());
    BOOST_TEST(own.ownIncarnation->value == 201U);
}

BOOST_AUTO_TEST_CASE(suspicionOfItselfIsRefuted)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    GossipMessage message = pingOf(recordOf(1), membership.self().daemon);
    MemberRecord suspicion = membership.self();
    suspicion.state = MemberState::Suspect;
    message.records.push_back(suspicion);
    BOOST_TEST(membership.handle(origin, message, actions).has_value());
    BOOST_TEST(membership.self().sequence == 1U);
    BOOST_TEST((actions.sends.at(0).message.sender.state == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(reportedDeathOfALiveMemberIsProbedBeforeItIsBelieved)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    BOOST_TEST(membership.handle(origin, pingOf(recordOf(2), membership.self().daemon), actions).has_value());
    GossipMessage message = pingOf(recordOf(1), membership.self().daemon);
    MemberRecord death = recordOf(2);
    death.state = MemberState::Dead;
    message.records.push_back(death);
    BOOST_TEST(membership.handle(origin, message, actions).has_value());
    BOOST_TEST((stateOf(membership, death.daemon) == MemberState::Alive));
    actions.clear();
    membership.onTimer(origin + 500ms, actions);
    const auto ping = std::find_if(actions.sends.begin(), actions.sends.end(), [&death](const GossipSend &send) {
        return send.to == death.daemon && send.message.kind == GossipKind::Ping;
    });
    BOOST_REQUIRE((ping != actions.sends.end()));
    BOOST_TEST((ping->message.records.at(0) == death));
}

BOOST_AUTO_TEST_CASE(refutationIsPassedOnBeforeManySuspicions)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    GossipMessage message = pingOf(recordOf(1), membership.self().daemon);
    for (std::uint32_t first = 2; first < 100; first += static_cast<std::uint32_t>(maxRecordsPerMessage)) {
        message.records.clear();
        for (std::uint32_t number = first; number < first + maxRecordsPerMessage; ++number) {
            MemberRecord suspicion = recordOf(number);
            suspicion.state = MemberState::Suspect;
            message.records.push_back(suspicion);
        }
        BOOST_TEST(membership.handle(origin + 1s * first, message, actions).has_value());
    }
    MemberRecord refutation = recordOf(50);
    refutation.sequence = 1;
    message.records = {refutation};
    BOOST_TEST(membership.handle(origin + 120s, message, actions).has_value());
    message.records.clear();
    for (std::uint32_t number = 200; number < 200 + maxRecordsPerMessage; ++number) {
        MemberRecord suspicion = recordOf(number);
        suspicion.state = MemberState::Suspect;
        message.records.push_back(suspicion);
    }
    actions.clear();
    BOOST_TEST(membership.handle(origin + 121s, message, actions).has_value());
    // The Ack, and the immediate notifications of the new suspicions to a few other members.
    BOOST_REQUIRE(actions.sends.size() > 1U);
    for (const GossipSend &out : actions.sends) {
        if (out.to == refutation.daemon) {
            continue;
        }
        const std::vector<MemberRecord> &records = out.message.records;
        const auto place = std::find(records.begin(), records.end(), refutation);
        const auto isSuspicion = [](const MemberRecord &record) { return record.state == MemberState::Suspect; };
        BOOST_TEST((place != records.end() && std::none_of(records.begin(), place, isSuspicion)));
        BOOST_TEST(std::any_of(place, records.end(), isSuspicion));
    }
}

BOOST_AUTO_TEST_CASE(silentMemberIsSuspectedThenDeadAndStillProbed)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    const MemberRecord peer = recordOf(1);
    BOOST_TEST(membership.handle(origin, pingOf(peer, membership.self().daemon), actions).has_value());
    std::vector<MemberState> states;
    std::size_t pingsWhileDead = 0;
    for (TimePoint now = origin; now < origin + 30s; now += 100ms) {
        actions.clear();
        membership.onTimer(now, actions);
        for (const MemberChange &change : actions.changes) {
            states.push_back(change.state);
        }
        if (stateOf(membership, peer.daemon) == MemberState::Dead) {
            pingsWhileDead += actions.sends.size();
        }
    }
    BOOST_TEST((states == std::vector<MemberState>{MemberState::Suspect, MemberState::Dead}));
    BOOST_TEST(pingsWhileDead > 0U);
}

BOOST_AUTO_TEST_CASE(ownPauseIsNotBlamedOnOthers)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    const MemberRecord peer = recordOf(1);
    BOOST_TEST(membership.handle(origin, pingOf(peer, membership.self().daemon), actions).has_value());
    membership.onTimer(origin + 500ms, actions);
    actions.clear();
    membership.onTimer(origin + 60s, actions);
    BOOST_TEST((stateOf(membership, peer.daemon) == MemberState::Alive));
    BOOST_TEST(actions.changes.empty());
}

BOOST_AUTO_TEST_CASE(leavingIsToldAtOnce)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    const MemberRecord peer = recordOf(1);
    BOOST_TEST(membership.handle(origin, pingOf(peer, membership.self().daemon), actions).has_value());
    actions.clear();
    membership.leave(origin, actions);
    BOOST_REQUIRE(actions.sends.size() == 1U);
    BOOST_TEST((actions.sends[0].message.sender.phase == MemberPhase::Leaving));

    Membership other = membershipOf(1);
    MembershipActions changes;
    BOOST_TEST(other.handle(origin, actions.sends[0].message, changes).has_value());
    BOOST_TEST(!other.members().at(0).takesWork());
    actions.clear();
    membership.depart(origin, actions);
    BOOST_TEST(other.handle(origin, actions.sends.at(0).message, changes).has_value());
    BOOST_TEST((stateOf(other, membership.self().daemon) == MemberState::Left));
}

BOOST_AUTO_TEST_CASE(publishedLeavingTakesNoWorkThoughTheMemberServes)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    const MemberRecord peer = recordOf(1);
    BOOST_TEST(membership.handle(origin, pingOf(peer, membership.self().daemon), actions).has_value());
    BOOST_TEST(membership.members().at(0).takesWork());
    VmList list;
    list.vms.push_back({peerAddress(peer.daemon), peer.callerAddress, "south", "nairobi", ServerState::Leaving});
    membership.setPublished(origin, list, actions);
    BOOST_TEST(!membership.members().at(0).takesWork());
}

BOOST_AUTO_TEST_CASE(messagesOfAnySecondAreBounded)
{
    Membership membership = membershipOf(0);
    MembershipActions actions;
    for (int number = 0; number < 1000; ++number) {
        const MemberRecord peer = recordOf(1 + static_cast<std::uint32_t>(number) % 50);
        BOOST_TEST(
            membership.handle(origin + 1ms * number, pingOf(peer, membership.self().daemon), actions).has_value());
    }
    const MembershipLimits limits;
    BOOST_TEST(static_cast<double>(actions.sends.size()) <= limits.messagesPerSecond + limits.messageBurst);
    BOOST_TEST(membership.suppressed() > 0U);
}

} // namespace sassafrasvane
