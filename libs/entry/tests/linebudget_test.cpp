#include "../src/linebudget.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;
using namespace std::chrono_literals;

// Guards against a crowd of refused requests that fills the log.
BOOST_AUTO_TEST_CASE(linesAboutRefusedRequestsAreBounded)
{
    detail::LineBudget budget;
    constexpr int milliseconds = 2'000;
    std::uint64_t written = 0;
    for (int time = 0; time < milliseconds; ++time) {
        for (int line = 0; line < 10; ++line) {
            written += budget.admit(TimePoint(100s) + time * 1ms) ? 1 : 0;
        }
    }
    BOOST_TEST(written <= 400U + 2 * 100U);
    BOOST_TEST(budget.takeOmitted() == std::uint64_t{10} * milliseconds - written);
    BOOST_TEST(budget.takeOmitted() == 0U);
}
