#include "entry/peertask.h"
#include "fakefleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

/// \file
/// Simulates hundreds of members with the membership limits of entry processes and the loss of a whole failure domain.

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t memberCount = 300;
constexpr std::size_t lostCount = 50;
/// Most VMs must stop sending callers to a lost VM within one or two seconds, and all VMs within the time limit of the
/// platform for correct lists.
constexpr Duration typicalNoticeTime = 2s;
constexpr double typicalNoticedShare = 0.9;
constexpr Duration maxNoticeTime = 9s;
constexpr double finalNoticedShare = 0.999;
/// Time after which all members must agree.
constexpr Duration maxDisagreement = 30s;

/// Share of pairs (running daemon, lost member) in which the daemon no longer considers the member available. The first
/// \p lost daemons of the fleet are the lost ones.
double noticedShare(FakeFleet &fleet, std::size_t lost)
{
    const DaemonId firstRunning = fleet.daemon(lost).record.daemon;
    std::size_t unnoticed = 0;
    std::size_t views = 0;
    for (std::size_t number = lost; number < fleet.size(); ++number) {
        const std::vector<Member> members = fleet.daemon(number).membership->members();
        unnoticed += static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const Member &member) {
            return member.record.daemon < firstRunning && member.takesWork();
        }));
        views += lost;
    }
    return 1 - static_cast<double>(unnoticed) / static_cast<double>(views);
}

} // namespace

BOOST_AUTO_TEST_SUITE(massLoss)

BOOST_AUTO_TEST_CASE(lossOfAFailureDomainIsKnownToAllSoon)
{
    FakeFleet fleet(memberCount, 7);
    fleet.setLimits(PeerTask::membershipLimits());
    fleet.publishVms();
    fleet.startAll();
    fleet.run(15s);
    BOOST_REQUIRE(fleet.hasConverged());
    fleet.resetCounters();
    for (std::size_t number = 0; number < lostCount; ++number) {
        fleet.kill(number);
    }
    fleet.run(typicalNoticeTime);
    BOOST_TEST(noticedShare(fleet, lostCount) >= typicalNoticedShare);
    fleet.run(maxNoticeTime - typicalNoticeTime);
    BOOST_TEST(noticedShare(fleet, lostCount) >= finalNoticedShare);
    fleet.run(maxDisagreement - maxNoticeTime);
    BOOST_TEST(fleet.counters().falseDeaths == 0U);
    BOOST_TEST(fleet.hasConverged());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace sassafrasvane
