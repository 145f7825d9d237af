#include "querysimulation.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Plays more queries over shards than the searchers bear, on several entry VMs in virtual time, and checks what
/// callers get.

using namespace sassafrasvane;
using namespace sassafrasvane::querysimulation;
using namespace std::chrono_literals;

namespace
{

/// Share of what the searchers could serve in time that must be served in time.
constexpr double minCapacityShare = 0.8;
/// The same where a single replica is left of some shards.
constexpr double minReducedCapacityShare = 0.9;
/// Share of the queries that may be taken and not answered.
constexpr double maxFailedShare = 0.01;

constexpr Duration runLength = 8s;

Parameters parametersFor(Policy policy)
{
    Parameters parameters;
    parameters.policy = policy;
    return parameters;
}

/// Many shards of which nearly all must be in the answer, as on fleets with many searchers.
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

/// Plays shards of which two have lost all replicas but one, which is \p slowness times slower than usual.
/// \param load in multiples of what such a shard bears.
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
    // Nobody waits until the deadline for nothing.
    BOOST_TEST(outcome.failed <= maxFailedShare * outcome.queries);
    BOOST_TEST(outcome.share(outcome.inTime) > baseline.share(baseline.inTime));
}

BOOST_AUTO_TEST_CASE(slowReplicasCostNoMoreThanTheirShare)
{
    constexpr double slowness = 6;
    constexpr std::size_t slowReplicas = 2;
    // What the slowest shards bear; one of them may be left out of an answer, so two are slow.
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
    // Of two shards a single replica is left. An answer may leave one shard out, so the other one bounds the goodput.
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
    // An answer may leave out either of the two short shards, so together they bear more than one of them does.
    constexpr double load = 2;
    for (const double slowness : {1.0, 2.0}) {
        const Outcome outcome = runWithLostReplicas(Policy::Production, slowness, load);
        BOOST_TEST(outcome.share(outcome.inTime) > 1 / load);
    }
}

BOOST_AUTO_TEST_CASE(callersOfVerySlowShardsAreRefusedAtOnceOrServed)
{
    // A call takes most of the latency target there, so that hardly any may wait.
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
    // Ten shards with one sound, one slow and one lost replica bear this load.
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
