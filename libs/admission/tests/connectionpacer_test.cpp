#include "admission/connectionpacer.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <vector>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{100s};
const BackEndLimits riders{"riders", 2, 25, 6ms, 1};

ConnectionPacer pacerOf(const BackEndLimits &limits, HolderShare share)
{
    return ConnectionPacer::Builder().limits(limits).share(share).build();
}

} // namespace

BOOST_AUTO_TEST_CASE(connectionsAreHeldAheadOfNeed)
{
    const ConnectionPacer pacer = pacerOf({"riders", 8, 25, 6ms, 1}, {0, 2});
    BOOST_TEST(pacer.cap() == 13U);
    BOOST_TEST(pacer.target({0, 0, true}) == 0U);
    BOOST_TEST(pacer.target({0, 1, true}) == 2U);
    BOOST_TEST(pacer.target({0, 4, false}) == 5U);
    BOOST_TEST(!pacer.nextOpening({5, 4, false}).has_value());
}

BOOST_AUTO_TEST_CASE(openingsArePacedByTheirCostAndSlowerWhenCold)
{
    ConnectionPacer pacer = pacerOf(riders, {0, 2});
    BOOST_TEST((pacer.nextOpening({0, 1, true}) <= origin));
    pacer.onOpening(origin);
    // 6 ms x 2 holders / (5% of 2 slots), and / (2% of 1 slot) when cold.
    BOOST_TEST((pacer.nextOpening({1, 1, false}) == origin + 120ms));
    BOOST_TEST((pacer.nextOpening({0, 1, true}) == origin + 600ms));
}

BOOST_AUTO_TEST_CASE(failedOpeningsBackOff)
{
    ConnectionPacer pacer = pacerOf({"audio", 6, 50, 1ms, 1}, {0, 1});
    TimePoint now = origin;
    Duration last{0};
    for (int i = 0; i < 12; ++i) {
        pacer.onOpening(now);
        pacer.onOpeningFailed();
        const TimePoint next = pacer.nextOpening({0, 1, true}).value();
        BOOST_TEST((next - now >= last && next - now <= 5s));
        last = next - now;
        now = next;
    }
    BOOST_TEST((last == 5s));
    pacer.onOpened();
    BOOST_TEST((pacer.nextOpening({0, 1, true}) < now));
}

RC_BOOST_PROP(openingsOfAllHoldersStayWithinTheirFractionAndCap, ())
{
    const std::uint32_t holders = *rc::gen::inRange<std::uint32_t>(1, 6);
    const std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(holders, 20);
    const std::uint32_t connections = *rc::gen::inRange<std::uint32_t>(1, 60);
    const bool isCold = *rc::gen::arbitrary<bool>();
    const BackEndLimits limits{"riders", slots, connections, 6ms, 1};
    std::vector<ConnectionPacer> pacers;
    for (std::uint32_t rank = 0; rank < holders; ++rank) {
        pacers.push_back(pacerOf(limits, {rank, holders}));
    }
    std::vector<std::size_t> open(holders, 0);
    std::size_t openings = 0;
    TimePoint now = origin;
    const std::vector<std::uint32_t> steps
        = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1000));
    for (const std::uint32_t step : steps) {
        now += 100us * step;
        std::size_t sum = 0;
        for (std::size_t i = 0; i < holders; ++i) {
            open[i] = step % 7 == 0 ? 0 : open[i];
            const std::optional<TimePoint> next = pacers[i].nextOpening({open[i], 1 + step % slots, isCold});
            if (next && *next <= now) {
                pacers[i].onOpening(now);
                ++open[i];
                ++openings;
            }
            RC_ASSERT(open[i] <= pacers[i].cap());
            sum += open[i];
        }
        RC_ASSERT(sum <= connections);
    }
    const double fraction = isCold ? ConnectionPacer::maxColdOpeningFraction()
                                   : ConnectionPacer::maxOpeningFraction() * static_cast<double>(slots);
    const double slotTime = fraction * static_cast<double>((now - origin).count());
    // Each holder may open its first connection at once.
    RC_ASSERT(static_cast<double>((openings - std::min<std::size_t>(openings, holders)) * 6000) <= slotTime + 1);
}

} // namespace sassafrasvane
