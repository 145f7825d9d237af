#include "admission/entryadmission.h"
#include "fakebackend.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{100s};
constexpr ClassIndex lookup{0};
constexpr ClassIndex browse{1};
constexpr std::size_t serverSlots = 16;

std::vector<RequestClass> classes()
{
    return {{"lookup", "riders", {100ms, 99, 1, 0.05}}, {"browse", "riders", {200ms, 99, 0.9, 0.05}}};
}

/// Queries per second that are answered in time when \p load times the capacity is offered for 30 s.
double goodput(double load, bool hasAdmission, std::uint64_t seed)
{
    EntryAdmission admission(classes());
    FakeBackEnd backEnd(serverSlots, hasAdmission ? &admission : nullptr, seed);
    const Duration service = 10ms;
    const Duration interval{static_cast<Duration::rep>(static_cast<double>(service.count()) / (serverSlots * load))};
    const std::map<ClassIndex, FakeCounts> counts = backEnd.run({{lookup, interval, service, 100ms}}, 30s);
    return static_cast<double>(counts.at(lookup).inTime) / 30;
}

EntryRequest request(std::uint64_t query, ClassIndex cls, Duration timeLeft)
{
    return {QueryId{query}, cls, origin + timeLeft};
}

} // namespace

BOOST_AUTO_TEST_CASE(goodputAtTwiceTheCapacityStaysNearItsPeak)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        double best = 0;
        for (const double load : {0.6, 0.8, 0.9, 1.0, 1.2}) {
            best = std::max({best, goodput(load, true, seed), goodput(load, false, seed)});
        }
        BOOST_TEST(goodput(2.0, true, seed) >= 0.9 * best);
        BOOST_TEST(goodput(2.0, false, seed) < 0.5 * best);
    }
}

BOOST_AUTO_TEST_CASE(floodOfBrowsesDoesNotStarveLookups)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        EntryAdmission admission(classes());
        FakeBackEnd backEnd(serverSlots, &admission, seed);
        // Lookups take an eighth of the capacity; browses are offered at four times the capacity.
        const std::map<ClassIndex, FakeCounts> counts
            = backEnd.run({{lookup, 2500us, 5ms, 100ms}, {browse, 312us, 20ms, 200ms}}, 30s);
        const FakeCounts lookups = counts.at(lookup);
        BOOST_TEST(static_cast<double>(lookups.inTime) >= 0.99 * static_cast<double>(lookups.offered));
        // Browses keep at least half of the capacity that the lookups leave: 16 server slots at 20 ms each give 800
        // queries per second, and an eighth less gives 700.
        BOOST_TEST(static_cast<double>(counts.at(browse).inTime) >= 0.5 * 700 * 30);
        BOOST_TEST(counts.at(browse).refused > 0U);
    }
}

BOOST_AUTO_TEST_CASE(queryThatCannotBeAnsweredInTimeIsRefusedAtOnce)
{
    EntryAdmission admission(classes());
    EntryActions actions;
    TimePoint now = origin;
    for (std::uint64_t query = 1; query <= 20; ++query) {
        admission.offer(now, {QueryId{query}, lookup, now + 1s}, actions);
        now += 30ms;
        admission.onFinished(now, {QueryId{query}, 30ms, false}, actions);
    }
    actions.clear();
    // Nothing runs, so the query is started although its deadline is too close.
    admission.offer(now, {QueryId{99}, lookup, now + 20ms}, actions);
    BOOST_TEST(actions.refuse.empty());
    admission.offer(now, {QueryId{100}, lookup, now + 20ms}, actions);
    BOOST_REQUIRE(actions.refuse.size() == 1U);
    BOOST_TEST((actions.refuse[0].reason == Errc::Overloaded));
    BOOST_TEST((actions.refuse[0].retryAfter > Duration{0}));
    admission.offer(now, {QueryId{101}, lookup, now}, actions);
    BOOST_TEST((actions.refuse.back().reason == Errc::DeadlinePassed));
    admission.offer(now, {QueryId{102}, ClassIndex{9}, now + 1s}, actions);
    BOOST_TEST((actions.refuse.back().reason == Errc::InvalidRequest));
}

BOOST_AUTO_TEST_CASE(classesKeepWhatTheyLearnedByName)
{
    EntryAdmission admission(classes());
    EntryActions actions;
    admission.offer(origin, request(1, browse, 1s), actions);
    std::vector<RequestClass> changed = classes();
    std::swap(changed[0], changed[1]);
    admission.setClasses(origin, changed, actions);
    BOOST_TEST(admission.running(ClassIndex{0}) == 1U);
    changed.erase(changed.begin());
    admission.setClasses(origin, changed, actions);
    admission.onFinished(origin, {QueryId{1}, 1ms, false}, actions);
    BOOST_TEST(admission.running(ClassIndex{0}) == 0U);
    BOOST_TEST(admission.running(ClassIndex{1}) == 0U);
}

RC_BOOST_PROP(everyQueryGetsOneStartOrRefusal, ())
{
    const std::vector<std::uint32_t> steps = *rc::gen::scale(
        4, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 10'000)));
    EntryAdmission admission(classes());
    TimePoint now = origin;
    std::map<QueryId, int> outcomes;
    std::vector<std::pair<QueryId, TimePoint>> running;
    EntryActions actions;
    const auto collect = [&] {
        for (const QueryId query : actions.start) {
            ++outcomes.at(query);
            running.emplace_back(query, now);
        }
        for (const EntryRefusal &refusal : actions.refuse) {
            ++outcomes.at(refusal.query);
        }
        actions.clear();
    };
    std::uint64_t lastQuery = 0;
    for (const std::uint32_t step : steps) {
        now += 10us * (step % 100);
        if (step % 4 == 0 && !running.empty()) {
            const std::pair<QueryId, TimePoint> ended = running[step % running.size()];
            std::erase(running, ended);
            const EntryResult result{ended.first, now - ended.second, step % 3 == 0};
            admission.onFinished(now, result, actions);
            admission.onFinished(now, result, actions);
        } else if (step % 7 == 0) {
            admission.onTimer(now, actions);
        } else {
            outcomes[QueryId{++lastQuery}] = 0;
            admission.offer(now, {QueryId{lastQuery}, ClassIndex{step % 2}, now + 10us * step}, actions);
        }
        collect();
    }
    now += 1s;
    admission.onTimer(now, actions);
    collect();
    RC_ASSERT(admission.waiting(lookup) + admission.waiting(browse) == 0U);
    RC_ASSERT(admission.running(lookup) + admission.running(browse) == running.size());
    for (const auto &[query, count] : outcomes) {
        RC_ASSERT(count == 1);
    }
}

// In an overload, most answers may be complete while each query above the limit costs another query some of its parts.
// The limit must then drop before the mean latency rises.
BOOST_AUTO_TEST_CASE(overloadedAnswersLowerTheLimitWithinAFewRoundTrips)
{
    EntryAdmission admission(classes());
    EntryActions actions;
    TimePoint now = origin;
    std::vector<QueryId> running;
    for (std::uint64_t query = 1; query <= 400; ++query) {
        actions.clear();
        admission.offer(now, {QueryId{query}, lookup, now + 50ms}, actions);
        running.insert(running.end(), actions.start.begin(), actions.start.end());
        now += 1ms;
        if (query % 5 == 0 && !running.empty()) {
            const EntryResult result{running.front(), 10ms, query % 10 == 0};
            running.erase(running.begin());
            actions.clear();
            admission.onFinished(now, result, actions);
            running.insert(running.end(), actions.start.begin(), actions.start.end());
        }
    }
    // 40 overloaded answers in 400 ms: 0.9 to the power of 40 times the initial limit is below 1. Each other answer
    // raises the limit by at most 1 divided by the number of running queries.
    BOOST_TEST(admission.running(lookup) <= EntryAdmission::initialLimit() / 2);
}

} // namespace sassafrasvane
