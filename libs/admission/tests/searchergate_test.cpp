#include "admission/searchergate.h"

#include <boost/test/unit_test.hpp>

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

} // namespace sassafrasvane
