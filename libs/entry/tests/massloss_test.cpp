#include "entry/peertask.h"
#include "fakefleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

/// \file
/// Hundreds of members with the limits of entry processes, of which a whole failure domain is lost at once.

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t memberCount = 300;
constexpr std::size_t lostCount = 50;
/// Callers must not be sent to a lost VM for longer than a second or two by most VMs, and by all within the time in
/// which the platform wants their lists to be right.
constexpr Duration usuallyNoticed = 2s;
constexpr double usualShare = 0.9;
constexpr Duration longestUnnoticed = 9s;
constexpr double nearlyAll = 0.999;
/// Time in which all members agree.
constexpr Duration longestDisagreement = 30s;

/// Share of the running daemons' views of \p lost members in which these take no work.
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
    fleet.run(usuallyNoticed);
    BOOST_TEST(noticedShare(fleet, lostCount) >= usualShare);
    fleet.run(longestUnnoticed - usuallyNoticed);
    BOOST_TEST(noticedShare(fleet, lostCount) >= nearlyAll);
    fleet.run(longestDisagreement - longestUnnoticed);
    BOOST_TEST(fleet.counters().falseDeaths == 0U);
    BOOST_TEST(fleet.hasConverged());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace sassafrasvane
