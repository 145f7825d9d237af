#include "fakefleet.h"
#include "fleet/configdistributor.h"
#include "fleet/valuedelta.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t configuration = static_cast<std::size_t>(ConfigKey::Configuration);

/// A published text of about \p bytes, in which line \p changed differs.
std::string textOf(std::size_t bytes, std::size_t changed)
{
    std::string text;
    for (std::size_t line = 0; text.size() < bytes; ++line) {
        text += "line " + std::to_string(line) + (line == changed ? " changed" : " as before") + "\n";
    }
    return text;
}

ConfigDistributor distributorOf(std::uint32_t number, TimePoint now, const ValueValidator &validator = {})
{
    MemberRecord record;
    record.daemon = daemonId({number, 7000});
    record.failureDomain = "north";
    return ConfigDistributor::Builder().self(record).validator(validator).seed(number).build(now);
}

Member memberOf(std::uint32_t number)
{
    Member member;
    member.record.daemon = daemonId({number, 7000});
    member.record.failureDomain = "north";
    return member;
}

} // namespace

RC_BOOST_PROP(differenceRestoresTheTarget, (const std::string &base, const std::string &piece, std::uint16_t place))
{
    std::string extendedBase = textOf(3'000, 7) + base;
    std::string target = extendedBase;
    target.insert(place % target.size(), piece);
    target.erase(place / 2 % target.size(), piece.size() / 2);
    const std::string delta = makeDelta(extendedBase, target);
    const std::optional<std::string> restored = applyDelta(extendedBase, delta);
    RC_ASSERT(restored.has_value());
    RC_ASSERT(*restored == target);
    RC_ASSERT(delta.size() < 100 + 2 * piece.size());
    // A corrupted difference gives another text or nothing, and never a crash.
    std::string damaged = delta;
    damaged[place % damaged.size()] = static_cast<char>(place >> 8);
    const std::optional<std::string> other = applyDelta(extendedBase, damaged);
    RC_ASSERT((!other || other->size() <= maxValueBytes));
}

BOOST_AUTO_TEST_CASE(movedAndChangedLinesMakeASmallDifference)
{
    const std::string base = textOf(500'000, 10);
    std::string target = textOf(500'000, 9'000);
    const std::string delta = makeDelta(base, target);
    BOOST_TEST(delta.size() < 400U);
    BOOST_TEST((applyDelta(base, delta) == target));
}

BOOST_AUTO_TEST_CASE(joiningDaemonPrefersItsPeersVersionToAStaleService)
{
    FakeFleet fleet(5, 11);
    fleet.publishVms();
    fleet.publish(ConfigKey::ShardMap, "map");
    fleet.publish(ConfigKey::Configuration, "one");
    fleet.startAll();
    fleet.run(5s);
    fleet.publish(ConfigKey::Configuration, "two");
    fleet.run(2s);
    BOOST_TEST(fleet.isInForce(ConfigKey::Configuration));
    fleet.setServiceStale(1);
    fleet.kill(3);
    fleet.start(3);
    fleet.run(5s);
    BOOST_TEST(fleet.isInForce(ConfigKey::Configuration));
    BOOST_TEST(fleet.daemon(3).inForceSince.size() == 3U);
    BOOST_TEST(fleet.daemon(3).distributor->isReady());
    BOOST_TEST(fleet.counters().reverts == 0U);
}

BOOST_AUTO_TEST_CASE(joiningDaemonFetchesAllValuesFromPeersWhileTheServiceIsDown)
{
    FakeFleet fleet(5, 12);
    fleet.publishVms();
    fleet.publish(ConfigKey::ShardMap, textOf(60'000, 3));
    fleet.publish(ConfigKey::Configuration, "one");
    fleet.startAll();
    fleet.run(5s);
    fleet.setServiceDown(true);
    fleet.kill(1);
    fleet.run(30s);
    fleet.start(1);
    fleet.run(15s);
    BOOST_TEST(fleet.isInForce(ConfigKey::Configuration));
    BOOST_TEST(fleet.isInForce(ConfigKey::ShardMap));
    BOOST_TEST(fleet.daemon(1).distributor->counters().fullTextsReceived == 3U);
}

BOOST_AUTO_TEST_CASE(invalidValueIsRefusedOnceAndTheLastOneStays)
{
    FakeFleet fleet(4, 13);
    fleet.publishVms();
    fleet.publish(ConfigKey::Configuration, "one");
    fleet.startAll();
    fleet.run(5s);
    fleet.publish(ConfigKey::Configuration, "invalid two");
    fleet.run(1s);
    fleet.resetCounters();
    fleet.run(60s);
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        BOOST_TEST(fleet.daemon(number).distributor->version(ConfigKey::Configuration).value == 1U);
    }
    // The four daemons watch for one second at a time; one or two of each failure domain read the three keys.
    BOOST_TEST(fleet.counters().peakServiceCalls <= 4U * configKeyCount * 2U);
    fleet.publish(ConfigKey::Configuration, "three");
    fleet.run(2s);
    BOOST_TEST(fleet.isInForce(ConfigKey::Configuration));
}

BOOST_AUTO_TEST_CASE(changesTravelAsDifferences)
{
    FakeFleet fleet(6, 14);
    fleet.publishVms();
    fleet.publish(ConfigKey::Configuration, textOf(200'000, 1));
    fleet.startAll();
    fleet.run(8s);
    fleet.resetCounters();
    fleet.publish(ConfigKey::Configuration, textOf(200'000, 2'000));
    fleet.run(2s);
    BOOST_TEST(fleet.isInForce(ConfigKey::Configuration));
    for (std::size_t number = 0; number < fleet.size(); ++number) {
        BOOST_TEST(fleet.daemon(number).distributor->counters().fullTextsReceived == 0U);
        BOOST_TEST(fleet.daemon(number).traffic.peakBytes < 30'000U);
    }
}

BOOST_AUTO_TEST_CASE(onlyTheReadersOfADomainReadAndOthersReplaceLostReaders)
{
    const TimePoint start{1h};
    std::vector<Member> members;
    for (std::uint32_t number = 2; number <= 20; ++number) {
        members.push_back(memberOf(number));
    }
    std::size_t readers = 0;
    std::size_t readersAfterLoss = 0;
    for (std::uint32_t number = 1; number <= 20; ++number) {
        std::vector<Member> others;
        for (std::uint32_t other = 1; other <= 20; ++other) {
            if (other != number) {
                others.push_back(memberOf(other));
            }
        }
        ConfigDistributor distributor = distributorOf(number, start);
        distributor.setMembers(start, others);
        readers += distributor.isReader(ConfigKey::Configuration) ? 1 : 0;
        for (Member &member : others) {
            member.record.state = MemberState::Dead;
        }
        distributor.setMembers(start, others);
        readersAfterLoss += distributor.isReader(ConfigKey::Configuration) ? 1 : 0;
    }
    BOOST_TEST(readers == DistributionLimits().readersPerDomain);
    BOOST_TEST(readersAfterLoss == 20U);
}

BOOST_AUTO_TEST_CASE(twoTextsUnderOneVersionAreReportedAndTheFirstStays)
{
    const TimePoint start{1h};
    ConfigDistributor distributor = distributorOf(1, start);
    DistributionActions actions;
    distributor.onTimer(start + 2s, actions);
    distributor.onServiceReply(start + 2s, ConfigKey::Configuration, ConfigVersion{4}, "one text", actions);
    BOOST_TEST(distributor.version(ConfigKey::Configuration).value == 4U);
    ConfigMessage announce;
    announce.sender = daemonId({2, 7000});
    announce.version = ConfigVersion{4};
    announce.digest = textDigest("another text");
    const Result<void> result = distributor.handle(start + 2s, announce, actions);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().errc() == Errc::InvalidConfiguration));
    BOOST_TEST(*distributor.text(ConfigKey::Configuration) == "one text");
    BOOST_TEST(distributor.counters().conflicts == 1U);
    BOOST_TEST(distributor.status(start + 2s).versions[configuration].value == 4U);
}

} // namespace sassafrasvane
