#include "fleet/freshnesslease.h"
#include "fleet/slowstart.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{Duration{1'000'000'000}};
const LeaseLimits limits;

/// A lease that was confirmed at origin.
FreshnessLease confirmedLease()
{
    FreshnessLease lease(origin);
    lease.onResponse(origin, origin, true);
    LeaseActions actions;
    BOOST_TEST((lease.check(origin, actions) == LeaseState::Valid));
    return lease;
}

} // namespace

BOOST_AUTO_TEST_CASE(resumedProcessHoldsNewWorkUntilANewRequestIsAnswered)
{
    FreshnessLease lease = confirmedLease();
    const TimePoint woken = origin + 1h;
    LeaseActions actions;
    BOOST_TEST((lease.check(woken, actions) == LeaseState::Refreshing));
    BOOST_TEST(actions.refresh);
    // An answer that stayed in the socket's buffer during the suspension.
    lease.onResponse(woken, origin + 1s, true);
    BOOST_TEST((lease.check(woken + 1ms, actions) == LeaseState::Refreshing));
    lease.onResponse(woken + 5ms, woken, true);
    BOOST_TEST((lease.check(woken + 5ms, actions) == LeaseState::Valid));
}

BOOST_AUTO_TEST_CASE(newerValuesAreFetchedBeforeWorkIsSent)
{
    FreshnessLease lease = confirmedLease();
    const TimePoint woken = origin + 1min;
    LeaseActions actions;
    BOOST_TEST((lease.check(woken, actions) == LeaseState::Refreshing));
    lease.onResponse(woken + 400ms, woken, false);
    BOOST_TEST((lease.check(woken + limits.refreshTimeout, actions) == LeaseState::Refreshing));
    lease.onResponse(woken + 600ms, woken, true);
    BOOST_TEST((lease.check(woken + 600ms, actions) == LeaseState::Valid));
}

BOOST_AUTO_TEST_CASE(isolatedDaemonKeepsServingAndKeepsAsking)
{
    FreshnessLease lease = confirmedLease();
    LeaseActions actions;
    TimePoint now = origin;
    std::size_t refreshes = 0;
    Duration held{0};
    for (; now < origin + 10s; now += 50ms) {
        actions = {};
        lease.onTimer(now, actions);
        refreshes += actions.refresh ? 1 : 0;
        held += lease.check(now, actions) == LeaseState::Refreshing ? 50ms : 0ms;
    }
    BOOST_TEST((lease.check(now, actions) == LeaseState::Isolated));
    BOOST_TEST((held <= limits.refreshTimeout + 50ms));
    BOOST_TEST(refreshes >= 7U);
    // A suspension ends the isolated state: values may have changed, and peers may be reachable again.
    BOOST_TEST((lease.check(now + 1min, actions) == LeaseState::Refreshing));
}

RC_BOOST_PROP(workIsNeverSentOnStateOlderThanTheLeaseUnlessIsolationIsProven, ())
{
    FreshnessLease lease(origin);
    TimePoint now = origin;
    std::optional<TimePoint> confirmedAt;
    std::optional<TimePoint> heldSince;
    TimePoint lastCall = origin;
    const std::vector<std::pair<int, int>> steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::element(1, 40, 300, 700, 2'500, 60'000)));
    for (const auto &[step, milliseconds] : steps) {
        now += std::chrono::milliseconds(milliseconds);
        LeaseActions actions;
        if (step == 0) {
            const TimePoint askedAt = now - std::chrono::milliseconds(milliseconds);
            lease.onResponse(now, askedAt, true);
            confirmedAt = confirmedAt ? std::max(*confirmedAt, askedAt) : askedAt;
            continue;
        }
        const LeaseState state = lease.check(now, actions);
        const bool isFresh = confirmedAt && now - *confirmedAt <= limits.lease;
        RC_ASSERT((state == LeaseState::Valid) == isFresh);
        if (state == LeaseState::Refreshing && (!heldSince || now - lastCall > limits.lease)) {
            RC_ASSERT(actions.refresh);
            heldSince = now;
        }
        if (state == LeaseState::Isolated) {
            // Peers and the service were asked after the last suspension, and had time to answer.
            RC_ASSERT(now - lastCall <= limits.lease);
            RC_ASSERT(heldSince.has_value());
            RC_ASSERT(now - *heldSince >= limits.refreshTimeout);
        }
        if (state == LeaseState::Valid) {
            heldSince.reset();
        }
        lastCall = now;
    }
}

BOOST_AUTO_TEST_CASE(isolationEndsWhenAPeerWithNewerValuesAnswers)
{
    FreshnessLease lease = confirmedLease();
    LeaseActions actions;
    TimePoint now = origin + 1900ms;
    for (; now < origin + 5s; now += 100ms) {
        actions = {};
        lease.check(now, actions);
    }
    BOOST_TEST((lease.check(now, actions) == LeaseState::Isolated));
    lease.onResponse(now, now, false);
    BOOST_TEST((lease.check(now + 1ms, actions) == LeaseState::Refreshing));
    lease.onResponse(now + 50ms, now, true);
    BOOST_TEST((lease.check(now + 50ms, actions) == LeaseState::Valid));
}

RC_BOOST_PROP(returnIsMonotoneAndInBoundedSteps, ())
{
    const SlowStartLimits shape;
    SlowStart slowStart;
    TimePoint now = origin;
    for (int round = 0; round < 4; ++round) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
        const double before = slowStart.share(now);
        slowStart.onUnavailable(now);
        RC_ASSERT(slowStart.share(now + 1h) == 0);
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
        slowStart.onAvailable(now);
        double last = slowStart.share(now);
        RC_ASSERT(last <= std::max(before, shape.step));
        for (int step = 0; step < *rc::gen::inRange(0, 30); ++step) {
            const double next = slowStart.share(now + shape.stepInterval * (step + 1));
            RC_ASSERT(next >= last);
            RC_ASSERT(next <= last + shape.step + 1e-9);
            last = next;
        }
        RC_ASSERT(slowStart.share(now + shape.stepInterval * 20) == 1);
    }
}

BOOST_AUTO_TEST_CASE(keysThatWereNeverUnavailableHaveTheFullShare)
{
    SlowStarts<std::string> slowStarts;
    slowStarts.set(origin, "north", true);
    BOOST_TEST(slowStarts.share(origin, "north") == 1);
    slowStarts.set(origin, "north", false);
    BOOST_TEST(slowStarts.share(origin, "north") == 0);
    slowStarts.set(origin + 10min, "north", true);
    BOOST_TEST(slowStarts.share(origin + 10min, "north") == SlowStartLimits().step);
    BOOST_TEST(slowStarts.share(origin + 10min, "south") == 1);
    slowStarts.prune(origin + 20min);
    BOOST_TEST(slowStarts.share(origin + 20min, "north") == 1);
}

} // namespace sassafrasvane
