#include "fleet/crashspread.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr Duration aMoment = 1ms;

std::vector<CrashEntry> evidence(std::uint64_t event)
{
    return {{Fingerprint{9}, event, true, false, 600s}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_spread)

BOOST_AUTO_TEST_CASE(newEvidenceIsSentAtOnceAndRepeatedAFewTimes)
{
    CrashSpread spread;
    TimePoint now{100s};
    spread.add(now, evidence(1));
    BOOST_TEST((spread.due(now) == evidence(1)));
    BOOST_TEST(spread.due(now + CrashSpread::pause() - aMoment).empty());
    for (std::uint32_t repeat = 1; repeat < CrashSpread::sends(); ++repeat) {
        now += CrashSpread::pause();
        BOOST_TEST((spread.due(now) == evidence(1)));
    }
    BOOST_TEST(spread.due(now + 10s).empty());
}

BOOST_AUTO_TEST_CASE(laterEvidenceHasItsOwnRepeats)
{
    CrashSpread spread;
    const TimePoint now{100s};
    spread.add(now, evidence(1));
    spread.due(now);
    spread.add(now + 100ms, evidence(2));
    BOOST_TEST((spread.due(now + 100ms) == evidence(2)));
    BOOST_TEST((spread.due(now + CrashSpread::pause()) == evidence(1)));
}

BOOST_AUTO_TEST_SUITE_END()
