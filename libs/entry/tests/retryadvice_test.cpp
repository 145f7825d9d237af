#include "entry/retryadvice.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr int samples = 1'000;

/// The shortest and the longest Retry-After time of many samples.
struct Range {
    Duration min = 1h;
    Duration max{0};
};

Range advice(const RefusalCause &cause)
{
    Random random(7);
    Range range;
    for (int sample = 0; sample < samples; ++sample) {
        const Duration wait = retryAfter(cause, random);
        range.min = std::min(range.min, wait);
        range.max = std::max(range.max, wait);
    }
    return range;
}

/// The share of callers that retry once and are served by that retry. Callers arrive at a steady rate until the outage
/// ends at \p outageEnd. \p waitAt gives the wait of a caller that is refused at that age of the outage.
double servedShare(Duration outageEnd, const std::function<Duration(Duration age)> &waitAt)
{
    constexpr Duration step = 5ms;
    int served = 0;
    int all = 0;
    for (Duration age{0}; age < outageEnd; age += step) {
        ++all;
        served += age + waitAt(age) >= outageEnd ? 1 : 0;
    }
    return static_cast<double>(served) / all;
}

} // namespace

BOOST_AUTO_TEST_CASE(callersComeBackSoonIfOnlyOneFoundNoRoom)
{
    const Range range = advice({});
    BOOST_TEST((range.min >= minRetryAfter()));
    BOOST_TEST((range.max <= 250ms));
    BOOST_TEST((range.max - range.min >= 40ms));
}

BOOST_AUTO_TEST_CASE(callersWaitLongerTheLongerAnOutageLasts)
{
    BOOST_TEST((advice({500ms, std::nullopt}).min >= 500ms));
    BOOST_TEST((advice({10s, std::nullopt}).min >= maxRetryAfter()));
    BOOST_TEST((advice({10s, std::nullopt}).max <= maxRetryAfter() * 5 / 4));
}

BOOST_AUTO_TEST_CASE(callersComeBackWhileTheyHaveTimeForAnAnswer)
{
    BOOST_TEST((advice({10s, 1'500ms}).max <= 500ms));
    BOOST_TEST((advice({10s, 100ms}).min >= minRetryAfter()));
}

BOOST_AUTO_TEST_CASE(callersOfLimitedSearchersComeBackSpreadFromWhenThereIsRoom)
{
    const Range range = advice({Duration{0}, std::nullopt, 2s});
    BOOST_TEST((range.min >= 2s));
    BOOST_TEST((range.max - range.min >= 1'800ms));
    BOOST_TEST((advice({Duration{0}, 900ms, 2s}).max <= 300ms));
    BOOST_TEST((advice({Duration{0}, std::nullopt, 1h}).max <= 2 * maxLimitedRetryAfter()));
}

BOOST_AUTO_TEST_CASE(moreCallersAreServedByTheirSecondAttemptAfterAnOutage)
{
    Random random(11);
    const auto fixed = [](Duration) { return minRetryAfter(); };
    const auto advised = [&random](Duration age) { return retryAfter({age, 2'500ms}, random); };
    for (const Duration end : {500ms, 1'000ms, 2'000ms, 4'000ms}) {
        BOOST_TEST(servedShare(end, advised) >= 1.2 * servedShare(end, fixed));
    }
}

} // namespace sassafrasvane
