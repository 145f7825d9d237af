#include "querysimulation.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Simulates overload: several entry VMs receive more queries over shards than the searchers can serve. Checks the
/// outcomes of the queries. Runs in virtual time.

using namespace sassafrasvane;
using namespace sassafrasvane::querysimulation;
using namespace std::chrono_literals;

namespace
{

/// Minimum goodput as a share of the capacity of the searchers.
constexpr double minCapacityShare = 0.8;
/// The same if some shards have only one replica left.
constexpr double minReducedCapacityShare = 0.9;
/// Maximum share of queries that are accepted but not answered.
constexpr double maxFailedShare = 0.01;

constexpr Duration runLength = 8s;

Parameters parametersFor(Policy policy)
{
    Parameters parameters;
    parameters.policy = policy;
    return parameters;
}

/// Many shards, nearly all of which must be in the answer, as in fleets with many searchers.
Parameters manyShards()
{
    Parameters parameters;
    parameters.shards = 36;
    parameters.minShards = 35;
    parameters.slots = 4;
    parameters.vms = 12;
    parameters.target = 150ms;
    parameters.timeLimit = 2'500ms;
    parameters.meanWork = 20ms;
    parameters.pause = 200ms;
    parameters.pausePeriod = 4'500ms;
    parameters.hasHedges = true;
    return parameters;
}

void report(const std::string &what, const Outcome &outcome)
{
    BOOST_TEST_MESSAGE(what << ": in time " << outcome.share(outcome.inTime) << ", late " << outcome.share(outcome.late)
                            << ", refused " << outcome.share(outcome.refused) << ", failed "
                            << outcome.share(outcome.failed));
}

/// Simulates queries while two shards have only one replica left, which is \p slowness times slower than usual.
/// \param load as a multiple of the capacity of such a shard.
Outcome runWithLostReplicas(Policy policy, double slowness, double load)
{
    Parameters parameters = manyShards();
    parameters.policy = policy;
    QuerySimulation simulation(parameters);
    for (const std::size_t shard : {0U, 1U}) {
        simulation.remove(shard, 2);
        simulation.slowDown(shard, 1, slowness);
    }
    return simulation.run(parameters.capacity() / static_cast<double>(parameters.replicas) / slowness * load,
                          runLength);
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

BOOST_AUTO_TEST_CASE(usualLoadIsServedInTime)
{
    QuerySimulation simulation(parametersFor(Policy::Production));
    const Outcome outcome = simulation.run(Parameters().capacity() * 0.5, 5s);
    BOOST_TEST(outcome.share(outcome.inTime) >= 0.99);
}

BOOST_AUTO_TEST_CASE(callersInTimeDoNotCollapseWhenMoreComeThanCanBeServed)
{
    constexpr double load = 1.3;
    const auto run = [](Policy policy) {
        QuerySimulation simulation(parametersFor(policy));
        return simulation.run(Parameters().capacity() * load, 5s);
    };
    const Outcome outcome = run(Policy::Production);
    const Outcome baseline = run(Policy::Baseline);
    BOOST_TEST(outcome.share(outcome.inTime) >= minCapacityShare / load);
    // Queries that cannot be answered are refused early and do not run into the deadline.
    BOOST_TEST(outcome.failed <= maxFailedShare * outcome.queries);
    BOOST_TEST(outcome.share(outcome.inTime) > baseline.share(baseline.inTime));
}

BOOST_AUTO_TEST_CASE(slowReplicasCostNoMoreThanTheirShare)
{
    constexpr double slowness = 6;
    constexpr std::size_t slowReplicas = 2;
    // Capacity of the slow shards relative to a healthy one. Two are slow, because an answer may leave one shard out.
    constexpr double slowCapacity = (3 - slowReplicas + slowReplicas / slowness) / 3;
    constexpr double load = 0.7;
    const auto run = [](Policy policy) {
        QuerySimulation simulation(parametersFor(policy));
        simulation.slowDown(0, slowReplicas, slowness);
        simulation.slowDown(1, slowReplicas, slowness);
        return simulation.run(Parameters().capacity() * load, 5s);
    };
    const Outcome outcome = run(Policy::Production);
    const Outcome baseline = run(Policy::Baseline);
    BOOST_TEST(outcome.share(outcome.inTime) >= minCapacityShare * slowCapacity / load);
    BOOST_TEST(outcome.share(outcome.inTime) > baseline.share(baseline.inTime));
}

BOOST_AUTO_TEST_CASE(shardsShortOfReplicasServeWhatTheyBear)
{
    // Two shards have only one replica left. An answer may leave one of them out, so the other one limits the goodput.
    for (const double slowness : {1.0, 2.0}) {
        for (const double load : {1.3, 2.0}) {
            const Outcome outcome = runWithLostReplicas(Policy::Production, slowness, load);
            report("load " + std::to_string(load) + ", slowness " + std::to_string(slowness), outcome);
            BOOST_TEST(outcome.share(outcome.inTime) >= minReducedCapacityShare / load);
            BOOST_TEST(outcome.failed <= maxFailedShare * outcome.queries);
        }
    }
}

BOOST_AUTO_TEST_CASE(queriesShareTheShardsThatAreShort)
{
    // An answer may leave out either of the two reduced shards, so together they serve more than one of them alone.
    constexpr double load = 2;
    for (const double slowness : {1.0, 2.0}) {
        const Outcome outcome = runWithLostReplicas(Policy::Production, slowness, load);
        BOOST_TEST(outcome.share(outcome.inTime) > 1 / load);
    }
}

BOOST_AUTO_TEST_CASE(callersOfVerySlowShardsAreRefusedAtOnceOrServed)
{
    // A call takes most of the latency target on these shards, so hardly any call may wait.
    constexpr double slowness = 5;
    for (const double load : {1.3, 2.0}) {
        const Outcome outcome = runWithLostReplicas(Policy::Production, slowness, load);
        const Outcome baseline = runWithLostReplicas(Policy::Baseline, slowness, load);
        report("very slow, load " + std::to_string(load), outcome);
        report("order of arrival", baseline);
        BOOST_TEST(outcome.failed <= maxFailedShare * outcome.queries);
        BOOST_TEST(outcome.inTime > baseline.inTime);
    }
}

BOOST_AUTO_TEST_CASE(queriesWaitForShardsThatAreNearlyFull)
{
    // Ten shards with one healthy, one slow and one lost replica can serve this load.
    constexpr double load = 0.25;
    constexpr double slowness = 3;
    constexpr double minInTimeShare = 0.9;
    const Parameters parameters = manyShards();
    QuerySimulation simulation(parameters);
    for (std::size_t shard = 0; shard < 10; ++shard) {
        simulation.remove(shard, 1);
        simulation.slowDown(shard, 1, slowness);
    }
    const Outcome outcome = simulation.run(parameters.capacity() * load, runLength);
    report("ten shards", outcome);
    BOOST_TEST(outcome.share(outcome.inTime) >= minInTimeShare);
    BOOST_TEST(outcome.failed <= maxFailedShare * outcome.queries);
}

BOOST_AUTO_TEST_SUITE_END()
