#include "fleet/crashbroadcaster.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr Duration oneMillisecond = 1ms;

std::vector<CrashEntry> evidence(std::uint64_t event)
{
    return {{Fingerprint{9}, event, true, false, 600s}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_broadcaster)

BOOST_AUTO_TEST_CASE(newEvidenceIsSentAtOnceAndRepeatedAFewTimes)
{
    CrashBroadcaster broadcaster;
    TimePoint now{100s};
    broadcaster.add(now, evidence(1));
    BOOST_TEST((broadcaster.due(now) == evidence(1)));
    BOOST_TEST(broadcaster.due(now + CrashBroadcaster::resendInterval() - oneMillisecond).empty());
    for (std::uint32_t repeat = 1; repeat < CrashBroadcaster::maxSends(); ++repeat) {
        now += CrashBroadcaster::resendInterval();
        BOOST_TEST((broadcaster.due(now) == evidence(1)));
    }
    BOOST_TEST(broadcaster.due(now + 10s).empty());
}

BOOST_AUTO_TEST_CASE(laterEvidenceHasItsOwnRepeats)
{
    CrashBroadcaster broadcaster;
    const TimePoint now{100s};
    broadcaster.add(now, evidence(1));
    broadcaster.due(now);
    broadcaster.add(now + 100ms, evidence(2));
    BOOST_TEST((broadcaster.due(now + 100ms) == evidence(2)));
    BOOST_TEST((broadcaster.due(now + CrashBroadcaster::resendInterval()) == evidence(1)));
}

BOOST_AUTO_TEST_SUITE_END()
