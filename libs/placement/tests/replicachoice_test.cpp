#include "placement/replicachoice.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace sassafrasvane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(replicaChoice)

namespace
{

constexpr double cautious = 0;
constexpr double bold = 0.999;

ReplicaCandidate local(Duration expectedTime)
{
    return {1.5, expectedTime, 0, true, true};
}

constexpr ReplicaCandidate remote{1, 5ms, 0, false, true};

ReplicaChoice choose(const ReplicaCandidate &candidate, std::optional<Duration> timeLeft, double caution)
{
    const std::array<ReplicaCandidate, 2> candidates{remote, candidate};
    return chooseReplica(candidates, timeLeft, caution).value();
}

} // namespace

// Load: half of the latency target is unused, and a remote searcher is a little faster.
BOOST_AUTO_TEST_CASE(callWithTimeToSpareStaysLocal)
{
    const ReplicaChoice choice = choose(local(8ms), 100ms, cautious);
    BOOST_TEST(choice.index == 1U);
    BOOST_TEST((choice.reason == ChoiceReason::Local));
}

// Load: the local searcher is so busy that the call could miss the target there.
BOOST_AUTO_TEST_CASE(callWithLittleTimeGoesToTheCheapestSearcher)
{
    for (const Duration timeLeft : {7ms, 1ms, 0ms}) {
        const ReplicaChoice choice = choose(local(8ms), timeLeft, bold);
        BOOST_TEST(choice.index == 0U);
        BOOST_TEST((choice.reason == ChoiceReason::TimeShort));
    }
}

// Load: the local searcher becomes busier. Calls must not all move to other domains at the same moment.
BOOST_AUTO_TEST_CASE(shareOfCallsThatStayLocalFallsGradually)
{
    int before = 10;
    for (const Duration expectedTime : {25ms, 29ms, 33ms, 37ms, 41ms, 45ms}) {
        int staying = 0;
        for (int step = 0; step < 10; ++step) {
            staying += choose(local(expectedTime), 100ms, (step + 0.5) / 10).index == 1 ? 1 : 0;
        }
        BOOST_TEST(staying <= before);
        BOOST_TEST(before - staying <= 3);
        before = staying;
    }
    BOOST_TEST(before == 0);
}

// Load: all searchers are about as busy. Moving calls would cost bytes and save no time.
BOOST_AUTO_TEST_CASE(callStaysLocalIfItTakesAsLongElsewhere)
{
    ReplicaCandidate busyRemote = remote;
    busyRemote.expectedTime = 45ms;
    const std::array<ReplicaCandidate, 2> candidates{busyRemote, local(50ms)};
    BOOST_TEST(chooseReplica(candidates, 100ms, cautious)->index == 1U);
}

// Load: the local searcher is cold, limited, overdue or fails. Preferring it would cost failures.
BOOST_AUTO_TEST_CASE(healthComesBeforeLocality)
{
    ReplicaCandidate impaired = local(5ms);
    impaired.isSound = false;
    BOOST_TEST((choose(impaired, 100ms, bold).reason == ChoiceReason::LocalImpaired));
    BOOST_TEST(choose(impaired, 100ms, bold).index == 0U);
    ReplicaCandidate failing = local(5ms);
    failing.failureShare = 0.2;
    BOOST_TEST(choose(failing, 100ms, bold).index == 0U);
}

// Load: one of two local searchers was lost or limited and is back. Guards against never calling it again.
BOOST_AUTO_TEST_CASE(recoveredLocalSearcherGetsCallsAgain)
{
    ReplicaCandidate recovered = local(5ms);
    recovered.isSound = false;
    recovered.cost = 1.4;
    const std::array<ReplicaCandidate, 2> candidates{recovered, local(5ms)};
    BOOST_TEST(chooseReplica(candidates, 100ms, cautious)->index == 0U);
}

// Load: a retry or hedge goes wherever it is answered soonest; some VMs have no local searcher.
BOOST_AUTO_TEST_CASE(callsWithoutPreferenceCompeteByCost)
{
    BOOST_TEST(choose(local(5ms), std::nullopt, bold).index == 0U);
    BOOST_TEST((choose(remote, 100ms, bold).reason == ChoiceReason::NoneLocal));
    BOOST_TEST(!chooseReplica({}, 100ms, bold).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
