#include "admission/classcontroller.h"
#include "fakeworkload.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <functional>
#include <string>
#include <vector>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t queriesToSettle = 6000;
constexpr std::size_t queriesToMeasure = 4000;
const ClassTarget lookup{100ms, 99, 0.9, 0.05};

/// Measurements of the queries after the controller has settled.
struct Outcome {
    double lateShare = 0;
    double incompleteShare = 0;
    double extraLoad = 0;
    /// Number of times the deadline changed its direction, and its smallest and largest value.
    std::size_t directionChanges = 0;
    Duration minDeadline = Duration::max();
    Duration maxDeadline{0};
    /// Share of the queries during which the controller reported a conflict.
    double conflictShare = 0;
};

Outcome measure(FakeWorkload &workload, ClassController &controller, const ClassTarget &target)
{
    for (std::size_t i = 0; i < queriesToSettle; ++i) {
        workload.run(controller);
    }
    Outcome outcome;
    Duration last = controller.bounds().deadline;
    int direction = 0;
    double needed = 0;
    double extra = 0;
    for (std::size_t i = 0; i < queriesToMeasure; ++i) {
        const QuerySample sample = workload.run(controller);
        outcome.lateShare += sample.latency > target.latency ? 1.0 / queriesToMeasure : 0;
        outcome.incompleteShare += sample.coverage < target.completeness ? 1.0 / queriesToMeasure : 0;
        outcome.conflictShare += controller.conflict() ? 1.0 / queriesToMeasure : 0;
        needed += static_cast<double>(sample.neededCalls);
        extra += static_cast<double>(sample.extraCalls);
        const Duration deadline = controller.bounds().deadline;
        const int newDirection = deadline > last ? 1 : deadline < last ? -1 : direction;
        outcome.directionChanges += direction != 0 && newDirection != direction ? 1 : 0;
        direction = newDirection;
        last = deadline;
        outcome.minDeadline = std::min(outcome.minDeadline, deadline);
        outcome.maxDeadline = std::max(outcome.maxDeadline, deadline);
    }
    outcome.extraLoad = extra / needed;
    return outcome;
}

/// Maximum number of direction changes in the measured 20 periods: attempts are at least minGoodPeriods periods apart.
constexpr std::size_t maxDirectionChanges = 8;

} // namespace

RC_BOOST_PROP(targetIsReachedWhereItCanBe, ())
{
    // Most calls take less than a third of the target, and the few stragglers fit into the extra-load budget.
    const FakeServers servers{30,
                              Duration{*rc::gen::inRange(1000, 10'000)},
                              Duration{*rc::gen::inRange(500, 3000)},
                              *rc::gen::inRange(0, 20) / 1000.0,
                              10,
                              0,
                              Duration{*rc::gen::inRange(0, 5000)}};
    const GivesWay givesWay = *rc::gen::element(GivesWay::Coverage, GivesWay::Latency);
    FakeWorkload workload(servers, lookup.extraLoad, *rc::gen::arbitrary<std::uint64_t>());
    ClassController controller(lookup, givesWay);
    const Outcome outcome = measure(workload, controller, lookup);
    RC_ASSERT(outcome.lateShare <= 0.01);
    RC_ASSERT(outcome.incompleteShare <= 0.01);
    RC_ASSERT(outcome.extraLoad <= lookup.extraLoad);
    RC_ASSERT(outcome.conflictShare == 0.0);
    RC_ASSERT(outcome.directionChanges <= maxDirectionChanges);
}

RC_BOOST_PROP(boundsHoldForAnyMeasurement, ())
{
    const ClassTarget target{Duration{*rc::gen::inRange(1000, 1'000'000)},
                             *rc::gen::element(50.0, 95.0, 99.0, 99.9),
                             *rc::gen::inRange(1, 101) / 100.0,
                             *rc::gen::inRange(0, 30) / 100.0};
    const GivesWay givesWay = *rc::gen::element(GivesWay::Coverage, GivesWay::Latency);
    ClassController controller(target, givesWay);
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const double maxFactor = givesWay == GivesWay::Latency ? ClassController::maxDeadlineStretch()
                                                           : ClassController::maxDeadlineFraction();
    const double minFactor = givesWay == GivesWay::Latency ? ClassController::maxDeadlineFraction()
                                                           : ClassController::minDeadlineFraction();
    const double latency = static_cast<double>(target.latency.count());
    for (int phase = 0; phase < 30; ++phase) {
        const std::uint64_t scale = 1 + random.below(2'000'000);
        const double coverage = random.unit();
        for (std::uint32_t i = 0; i < ClassController::queriesPerPeriod(); ++i) {
            controller.onCall(Duration{static_cast<Duration::rep>(random.below(scale))});
            controller.onQuery({Duration{static_cast<Duration::rep>(random.below(scale))},
                                random.chance(coverage) ? 1.0 : random.unit(),
                                random.unit(),
                                random.below(100),
                                random.below(100)});
        }
        const QueryBounds &bounds = controller.bounds();
        const double deadline = static_cast<double>(bounds.deadline.count());
        RC_ASSERT(deadline >= minFactor * latency - 1 && deadline <= maxFactor * latency);
        RC_ASSERT(bounds.hedgeDelay > Duration{0} && bounds.hedgeDelay <= bounds.deadline);
        RC_ASSERT(bounds.earlyStopDelay >= Duration{0} && bounds.earlyStopDelay <= bounds.deadline);
        RC_ASSERT(bounds.quorum >= target.completeness && bounds.quorum <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(coverageGivesWayToLatencyAndTheConflictSaysSo)
{
    const ClassTarget target{100ms, 99, 0.95, 0};
    FakeWorkload workload({30, 5ms, 1ms, 0.2, 100}, target.extraLoad, 1);
    ClassController controller(target, GivesWay::Coverage);
    const Outcome outcome = measure(workload, controller, target);
    BOOST_TEST(outcome.lateShare == 0.0);
    BOOST_TEST(outcome.incompleteShare > 0.5);
    BOOST_REQUIRE(controller.conflict().has_value());
    BOOST_TEST((controller.conflict()->missedTarget == GivesWay::Coverage));
    BOOST_TEST((controller.conflict()->cause == ConflictCause::ExtraLoadSpent));
    BOOST_TEST(controller.conflict()->incompleteShare > 0.5);
    BOOST_TEST(controller.conflict()->minCoverage < 0.95);
    BOOST_TEST((controller.conflict()->latency <= target.latency));
    BOOST_TEST(outcome.directionChanges <= maxDirectionChanges);
}

BOOST_AUTO_TEST_CASE(latencyGivesWayToCoverageAndTheConflictSaysSo)
{
    const ClassTarget target{100ms, 99, 1.0, 0};
    FakeWorkload workload({30, 5ms, 1ms, 0.2, 25}, target.extraLoad, 1);
    ClassController controller(target, GivesWay::Latency);
    const Outcome outcome = measure(workload, controller, target);
    BOOST_TEST(outcome.incompleteShare <= 0.02);
    BOOST_TEST(outcome.lateShare > 0.5);
    BOOST_TEST((outcome.maxDeadline <= 400ms));
    BOOST_REQUIRE(controller.conflict().has_value());
    BOOST_TEST((controller.conflict()->missedTarget == GivesWay::Latency));
    BOOST_TEST((controller.conflict()->latency > target.latency));
    BOOST_TEST(outcome.directionChanges <= maxDirectionChanges);
}

BOOST_AUTO_TEST_CASE(stretchedDeadlineComesBackWhenTheServersAreWell)
{
    const ClassTarget target{100ms, 99, 1.0, 0};
    FakeWorkload workload({30, 5ms, 1ms, 0.2, 25}, target.extraLoad, 1);
    ClassController controller(target, GivesWay::Latency);
    measure(workload, controller, target);
    BOOST_TEST((controller.bounds().deadline > 100ms));
    workload.setServers({30, 5ms, 1ms});
    for (int i = 0; i < 500'000 && controller.bounds().deadline > 90ms; ++i) {
        workload.run(controller);
    }
    BOOST_TEST((controller.bounds().deadline == 90ms));
    BOOST_TEST(!controller.conflict().has_value());
}

BOOST_AUTO_TEST_CASE(unreachablePartsDoNotStretchTheDeadline)
{
    const ClassTarget target{100ms, 99, 0.95, 0.05};
    FakeWorkload workload({30, 5ms, 1ms, 0, 1, 3}, target.extraLoad, 1);
    ClassController controller(target, GivesWay::Latency);
    const Outcome outcome = measure(workload, controller, target);
    BOOST_TEST((outcome.maxDeadline == 90ms));
    BOOST_REQUIRE(controller.conflict().has_value());
    BOOST_TEST((controller.conflict()->missedTarget == GivesWay::Coverage));
    BOOST_TEST((controller.conflict()->cause == ConflictCause::Unreachable));
}

BOOST_AUTO_TEST_CASE(timeSpentOutsideOfTheQueryShortensTheDeadline)
{
    // Stragglers reach the deadline, so the latency is the deadline plus the overhead.
    const ClassTarget target{100ms, 99, 0.5, 0};
    FakeWorkload workload({30, 5ms, 1ms, 0.6, 100, 0, 25ms}, target.extraLoad, 1);
    ClassController controller(target, GivesWay::Coverage);
    const Outcome outcome = measure(workload, controller, target);
    BOOST_TEST((outcome.maxDeadline <= 80ms));
    BOOST_TEST(outcome.lateShare <= 0.01);
    BOOST_TEST(outcome.directionChanges <= maxDirectionChanges);
}

BOOST_AUTO_TEST_CASE(hedgesFollowTheSlowestCallsWithinTheExtraLoad)
{
    const ClassTarget target{200ms, 99, 1.0, 0.05};
    FakeWorkload workload({30, 10ms, 2ms, 0.02, 10}, target.extraLoad, 1);
    ClassController controller(target, GivesWay::Coverage);
    const Outcome outcome = measure(workload, controller, target);
    BOOST_TEST(outcome.extraLoad <= 0.05);
    BOOST_TEST(outcome.extraLoad >= 0.02);
    BOOST_TEST((controller.bounds().hedgeDelay > 10ms && controller.bounds().hedgeDelay < 40ms));
}

RC_BOOST_PROP(quantileIsOffByAtMostABucket, ())
{
    const std::vector<std::uint32_t> samples = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1 << 30)));
    LatencyHistogram histogram;
    for (const std::uint32_t sample : samples) {
        histogram.add(Duration{sample});
    }
    std::vector<std::uint32_t> sorted = samples;
    std::sort(sorted.begin(), sorted.end());
    const std::size_t rank = *rc::gen::inRange<std::size_t>(1, sorted.size() + 1);
    const double fraction = (static_cast<double>(rank) - 0.5) / static_cast<double>(sorted.size());
    const double exact = sorted[rank - 1];
    const double estimate = static_cast<double>(histogram.quantile(fraction).count());
    RC_ASSERT(estimate >= exact);
    RC_ASSERT(estimate <= exact * 1.125 + 1);
}

BOOST_AUTO_TEST_CASE(conflictsHaveNames)
{
    BOOST_TEST(name(ConflictCause::ExtraLoadSpent) == std::string("extra_load_spent"));
    BOOST_TEST(name(GivesWay::Latency) == std::string("latency"));
}

} // namespace sassafrasvane
