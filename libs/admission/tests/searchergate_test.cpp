#include "admission/searchergate.h"
#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000}};

GateRequest request(std::uint64_t call, Duration timeLeft)
{
    return {CallId{call}, ClassIndex{0}, origin + timeLeft, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(runsOnlyItsShareAndServesByDeadline)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 2, 25, 6ms, 1}).share({0, 2}).build();
    GateActions actions;
    gate.offer(origin, request(1, 50ms), actions);
    gate.offer(origin, request(2, 90ms), actions);
    gate.offer(origin, request(3, 70ms), actions);
    BOOST_TEST((actions.start == std::vector<CallId>{CallId{1}}));
    BOOST_TEST(gate.waiting() == 2U);
    actions.clear();
    gate.onResult(origin + 5ms, {CallId{1}, GateResult::End::Answered, 5ms, Incarnation{1}}, actions);
    BOOST_TEST((actions.start == std::vector<CallId>{CallId{3}}));
}

BOOST_AUTO_TEST_CASE(waitingCallIsRefusedWhenItsDeadlinePasses)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 2, 25, 6ms, 1}).share({0, 2}).build();
    GateActions actions;
    gate.offer(origin, request(1, 50ms), actions);
    gate.offer(origin, request(2, 20ms), actions);
    BOOST_TEST((actions.wakeAt == origin + 20ms));
    actions.clear();
    gate.onTimer(origin + 20ms, actions);
    BOOST_REQUIRE(actions.refuse.size() == 1U);
    BOOST_TEST((actions.refuse[0].call == CallId{2}));
    BOOST_TEST((actions.refuse[0].reason == Errc::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(callThatCannotBeServedInTimeIsRefusedAtOnce)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).build();
    GateActions actions;
    TimePoint now = origin;
    for (std::uint64_t call = 1; call <= 20; ++call) {
        gate.offer(now, {CallId{call}, ClassIndex{0}, now + 1s}, actions);
        now += 10ms;
        gate.onResult(now, {CallId{call}, GateResult::End::Answered, 10ms, Incarnation{1}}, actions);
    }
    actions.clear();
    gate.offer(now, {CallId{100}, ClassIndex{0}, now + 5ms}, actions);
    BOOST_REQUIRE(actions.refuse.size() == 1U);
    BOOST_TEST((actions.refuse[0].reason == Errc::Overloaded));
    actions.clear();
    for (std::uint64_t call = 101; call <= 106; ++call) {
        gate.offer(now, {CallId{call}, ClassIndex{0}, now + 42ms}, actions);
    }
    // One call runs for 10 ms, the others follow one after the other: the fourth waiting call would end at 45 ms.
    BOOST_TEST(gate.waiting() == 3U);
    BOOST_TEST(actions.refuse.size() == 2U);
    BOOST_TEST((actions.refuse[0].retryAfter >= 20ms));
}

BOOST_AUTO_TEST_CASE(firstCallsGoBeforeExtraOnes)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).build();
    GateActions actions;
    gate.offer(origin, request(1, 50ms), actions);
    gate.offer(origin, {CallId{2}, ClassIndex{0}, origin + 60ms, true}, actions);
    gate.offer(origin, request(3, 90ms), actions);
    actions.clear();
    gate.onResult(origin + 5ms, {CallId{1}, GateResult::End::Answered, 5ms, Incarnation{1}}, actions);
    BOOST_TEST((actions.start == std::vector<CallId>{CallId{3}}));
}

BOOST_AUTO_TEST_CASE(duplicateAndUnknownResultsDoNotFreeASlot)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).build();
    GateActions actions;
    for (std::uint64_t call = 1; call <= 3; ++call) {
        gate.offer(origin, request(call, 50ms), actions);
    }
    const GateResult result{CallId{1}, GateResult::End::Answered, 5ms, Incarnation{1}};
    gate.onResult(origin + 5ms, result, actions);
    gate.onResult(origin + 5ms, result, actions);
    gate.onResult(origin + 5ms, {CallId{77}, GateResult::End::Answered, 5ms, Incarnation{1}}, actions);
    BOOST_TEST(gate.running() == 1U);
    BOOST_TEST(gate.waiting() == 1U);
    BOOST_TEST(!gate.cancel(origin + 6ms, CallId{2}, actions));
    BOOST_TEST(gate.cancel(origin + 6ms, CallId{3}, actions));
}

BOOST_AUTO_TEST_CASE(fullQueueEvictsTheLastInOrder)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).build();
    GateActions actions;
    gate.offer(origin, request(1, 1s), actions);
    gate.offer(origin, {CallId{2}, ClassIndex{0}, origin + 10ms, true}, actions);
    for (std::uint64_t call = 3; actions.refuse.empty(); ++call) {
        gate.offer(origin, request(call, 1s), actions);
    }
    BOOST_TEST((actions.refuse[0].call == CallId{2}));
    BOOST_TEST((actions.refuse[0].reason == Errc::Overloaded));
}

BOOST_AUTO_TEST_CASE(refusalsInRowPauseTheGate)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).build();
    GateActions actions;
    for (std::uint64_t call = 1; call <= 4; ++call) {
        gate.offer(origin, request(call, 500ms), actions);
    }
    for (std::uint64_t call = 1; call <= 3; ++call) {
        gate.onResult(origin + 1ms, {CallId{call}, GateResult::End::Refused, 1ms, Incarnation{1}}, actions);
    }
    BOOST_TEST(gate.running() == 0U);
    BOOST_TEST(gate.waiting() == 1U);
    BOOST_REQUIRE(actions.wakeAt.has_value());
    const TimePoint wakeAt = *actions.wakeAt;
    BOOST_TEST((wakeAt > origin + 1ms && wakeAt < origin + 500ms));
    gate.onTimer(wakeAt, actions);
    BOOST_TEST(gate.running() == 1U);
}

BOOST_AUTO_TEST_CASE(callThatWasNotSentFreesItsSlotAndChangesNoLimit)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).build();
    GateActions actions;
    for (std::uint64_t call = 1; call <= 10; ++call) {
        actions.clear();
        gate.offer(origin, request(call, 500ms), actions);
        BOOST_TEST((actions.start == std::vector<CallId>{CallId{call}}));
        gate.onNotSent(origin, CallId{call}, actions);
        BOOST_TEST(gate.running() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(largerShareWaitsAndSmallerOneAppliesAtOnce)
{
    const BackEndLimits limits{"riders", 4, 25, 6ms, 4};
    SearcherGate gate = SearcherGate::Builder().limits(limits).share({0, 4}).build();
    GateActions actions;
    gate.setShare(origin, limits, {0, 1}, actions);
    BOOST_TEST(gate.concurrency(origin + SearcherGate::holdOff() - 1us) == 1U);
    BOOST_TEST(gate.concurrency(origin + SearcherGate::holdOff()) == 4U);
    gate.setShare(origin + 10s, limits, {1, 2}, actions);
    BOOST_TEST(gate.concurrency(origin + 10s) == 2U);
    gate.suspend(origin + 20s);
    BOOST_TEST(gate.concurrency(origin + 20s + SearcherGate::holdOff() - 1us) == 0U);
    BOOST_TEST(gate.concurrency(origin + 20s + SearcherGate::holdOff()) == 2U);
}

BOOST_AUTO_TEST_CASE(newHolderHoldsOff)
{
    SearcherGate gate
        = SearcherGate::Builder().limits({"riders", 1, 25, 6ms, 1}).share({0, 1}).becameHolderAt(origin).build();
    GateActions actions;
    gate.offer(origin, request(1, 1s), actions);
    BOOST_REQUIRE(actions.refuse.size() == 1U);
    BOOST_TEST((actions.refuse[0].retryAfter == SearcherGate::holdOff()));
    gate.offer(origin + SearcherGate::holdOff(), request(2, 10s), actions);
    BOOST_TEST((actions.start == std::vector<CallId>{CallId{2}}));
}

BOOST_AUTO_TEST_CASE(concurrencyFollowsTheCapacityOfTheServer)
{
    const BackEndLimits limits{"riders", 32, 64, 6ms, 32};
    SearcherGate gate = SearcherGate::Builder().limits(limits).share({0, 1}).build();
    TimePoint now = origin;
    std::uint64_t lastCall = 0;
    GateActions actions;
    std::vector<CallId> open;
    // The server runs up to eight calls in 4 ms each; beyond eight, the latency grows in proportion to their number.
    for (int round = 0; round < 400; ++round) {
        actions.clear();
        while (gate.running() < gate.concurrency(now)) {
            gate.offer(now, {CallId{++lastCall}, ClassIndex{0}, now + 10s}, actions);
        }
        open.insert(open.end(), actions.start.begin(), actions.start.end());
        const Duration latency = round < 20 ? Duration{4ms} : 4ms * std::max<std::size_t>(8, open.size()) / 8;
        now += latency;
        const std::vector<CallId> ended = std::exchange(open, {});
        actions.clear();
        for (const CallId call : ended) {
            gate.onResult(now, {call, GateResult::End::Answered, latency, Incarnation{1}}, actions);
        }
        open = actions.start;
    }
    // At least the eight calls of its capacity; at most twice that, where the latency is twice its floor, plus the two
    // calls of two increases.
    BOOST_TEST(gate.concurrency(now) >= 8U);
    BOOST_TEST(gate.concurrency(now) <= 18U);
}

BOOST_AUTO_TEST_CASE(unevenLatencyIsNotTakenForQueueing)
{
    SearcherGate gate = SearcherGate::Builder().limits({"riders", 8, 64, 6ms, 1}).share({0, 1}).build();
    Random random(1);
    TimePoint now = origin;
    std::uint64_t lastCall = 0;
    std::vector<std::pair<TimePoint, GateResult>> open;
    GateActions actions;
    double sum = 0;
    constexpr int answers = 20'000;
    for (int i = 0; i < answers; ++i) {
        actions.clear();
        while (gate.running() < gate.concurrency(now)) {
            gate.offer(now, {CallId{++lastCall}, ClassIndex{0}, now + 10s}, actions);
        }
        for (const CallId call : actions.start) {
            const Duration latency{static_cast<Duration::rep>(-std::log(1 - random.unit()) * 10'000)};
            open.push_back({now + latency, {call, GateResult::End::Answered, latency, Incarnation{1}}});
        }
        const auto next = std::min_element(
            open.begin(), open.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
        now = next->first;
        gate.onResult(now, next->second, actions);
        open.erase(next);
        sum += gate.concurrency(now);
    }
    // The server never queues, so the limit should stay at the share, except for random variation.
    BOOST_TEST(sum / answers >= 0.9 * 8);
}

} // namespace sassafrasvane
