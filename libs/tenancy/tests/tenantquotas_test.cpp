#include "tenancy/tenantquotas.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

constexpr DaemonId self{1};
constexpr DaemonId peer{2};
const TimePoint start{std::chrono::hours(1)};

TimePoint at(double seconds)
{
    return start + fromMilliseconds(seconds * 1'000);
}

/// A TenantQuotas with one tenant, "a", and the given participants.
TenantQuotas quotasOf(std::vector<DaemonId> participants, double rate, double burst)
{
    TenantQuotas quotas = TenantQuotas::Builder().self(self).seed(7).build(start);
    quotas.setParticipants(start, participants);
    quotas.setQuotas(start, std::vector<TenantQuota>{{"a", rate, burst}});
    return quotas;
}

int admittedOf(TenantQuotas &quotas, TimePoint now, int requests)
{
    int admitted = 0;
    for (int request = 0; request < requests; ++request) {
        admitted += quotas.admit(now, "a").isAdmitted ? 1 : 0;
    }
    return admitted;
}

} // namespace

// Guards against a limit where none is configured, and against reports that nobody needs.
BOOST_AUTO_TEST_CASE(tenantWithoutQuotaIsUnlimitedAndSendsNoReports)
{
    TenantQuotas quotas = quotasOf({self, peer}, 0, 0);
    BOOST_TEST(admittedOf(quotas, start, 1'000) == 1'000);
    BOOST_TEST((quotas.admit(start, "a").basis == QuotaBasis::Unlimited));
    BOOST_TEST(quotas.dueReports(at(1)).empty());
}

// Guards against a full bucket after a restart, and against a burst above the configured one.
BOOST_AUTO_TEST_CASE(bucketStartsEmptyAndFillsToItsCapacity)
{
    TenantQuotas quotas = quotasOf({self}, 10, 20);
    BOOST_TEST(admittedOf(quotas, start, 5) == 0);
    BOOST_TEST(admittedOf(quotas, at(1), 100) == 10);
    BOOST_TEST(admittedOf(quotas, at(100), 100) == 20);
}

// Guards against a Retry-After at which the caller is refused again.
BOOST_AUTO_TEST_CASE(retryAfterIsWhenTheNextTokenIsExpected)
{
    TenantQuotas quotas = quotasOf({self}, 0.5, 1);
    const QuotaDecision refused = quotas.admit(start, "a");
    BOOST_TEST(!refused.isAdmitted);
    BOOST_TEST(toMilliseconds(refused.retryAfter) >= 2'000.0);
    BOOST_TEST(toMilliseconds(refused.retryAfter) <= 3'000.0);
    BOOST_TEST(quotas.admit(start + refused.retryAfter, "a").isAdmitted);
    TenantQuotas fast = quotasOf({self}, 1'000, 1);
    BOOST_TEST(toMilliseconds(fast.admit(start, "a").retryAfter) >= 100.0);
}

// Guards against a VM that is no participant and sends its first caller away for half a minute, and against one that
// admits requests of which nobody else knows.
BOOST_AUTO_TEST_CASE(vmThatIsNoParticipantAdmitsOnceItHearsTheOthers)
{
    const std::vector<DaemonId> participants{peer, DaemonId{3}, DaemonId{4}};
    TenantQuotas quotas = quotasOf(participants, 10, 20);
    const TimePoint later = at(100);
    const QuotaDecision refused = quotas.admit(later, "a");
    BOOST_TEST(!refused.isAdmitted);
    BOOST_TEST((refused.basis == QuotaBasis::Alone));
    BOOST_TEST(toMilliseconds(refused.retryAfter) <= 375.0);
    const std::vector<QuotaReport> reports = quotas.dueReports(later);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().needsLevels);
    BOOST_TEST(quotas.recipients(later).size() == participants.size());
    const TimePoint answered = later + std::chrono::milliseconds(150);
    for (const DaemonId participant : participants) {
        const QuotaEntry level{reports.front().entries.front().tenant, 0, 0, 100, 2'000};
        quotas.onReport(answered, participant, {participant.value, 1, wholeQuotaPermille, 3, false, {level}});
    }
    const QuotaDecision admitted = quotas.admit(later + refused.retryAfter, "a");
    BOOST_TEST(admitted.isAdmitted);
    BOOST_TEST((admitted.basis == QuotaBasis::Shared));
}

// Guards against a token that is lost with a request that was not run, and against a refund beyond the capacity.
BOOST_AUTO_TEST_CASE(refundGivesTheTokenBack)
{
    TenantQuotas quotas = quotasOf({self}, 1, 3);
    BOOST_TEST(admittedOf(quotas, at(10), 10) == 3);
    quotas.refund(at(10), "a");
    BOOST_TEST(admittedOf(quotas, at(10), 10) == 1);
    quotas.refund(at(100), "a");
    BOOST_TEST(admittedOf(quotas, at(100), 10) == 3);
}

// Guards against a lowered quota whose old burst can still be used.
BOOST_AUTO_TEST_CASE(loweredQuotaCapsTheBucketAtOnce)
{
    TenantQuotas quotas = quotasOf({self}, 10, 100);
    BOOST_TEST(quotas.usage(at(20)).front().level == 100.0);
    quotas.setQuotas(at(20), std::vector<TenantQuota>{{"a", 1, 2}});
    BOOST_TEST(admittedOf(quotas, at(20), 100) == 2);
    quotas.setQuotas(at(21), std::vector<TenantQuota>{});
    BOOST_TEST(quotas.usage(at(21)).empty());
}

} // namespace sassafrasvane
