#include "quotafleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace sassafrasvane
{

namespace
{

/// Usual load, as a share of the quota.
constexpr double usual = 1 / 1.6;
constexpr double hot = 8 * usual;
/// Quotas of the tenants. The small ones have the most of their tolerance in the slack.
const std::vector<double> rates{60, 20, 5, 2, 0.5};
constexpr double minBurst = 4;

struct Size {
    std::size_t vms = 0;
    std::size_t advertised = 0;
    /// Largest share of requests of tenants within their quota that is refused without a fault.
    double calmRefusals = 0;
};

std::ostream &operator<<(std::ostream &stream, const Size &size)
{
    return stream << size.advertised << " of " << size.vms;
}

/// With 24 participants the slack of 20 is less than one request for each.
const std::vector<Size> sizes{{8, 8, 0.002}, {91, 12, 0.004}, {300, 24, 0.02}};

/// Tenants of different sizes.
class Tenants
{
public:
    Tenants(const Size &size, std::uint64_t seed)
        : size_(size), fleet({.vms = size.vms, .advertised = size.advertised}, seed)
    {
        for (const double rate : rates) {
            fleet.addTenant({"rate-" + std::to_string(rate), rate, std::max(minBurst, rate)});
        }
        setLoad(usual, advertised());
        constexpr double warmUp = 20;
        fleet.run(warmUp);
        fleet.resetCounts();
    }

    void setLoad(double share, const std::vector<std::size_t> &vms)
    {
        for (std::size_t tenant = 0; tenant < rates.size(); ++tenant) {
            fleet.setLoad(tenant, rates[tenant] * share, vms);
        }
    }

    std::vector<std::size_t> advertised() const { return QuotaFleet::range(0, size_.advertised); }
    std::vector<std::size_t> all() const { return QuotaFleet::range(0, size_.vms); }

    /// Refused requests of all tenants, as a share. Starts the count again.
    double refusals()
    {
        double refused = 0;
        double arrived = 0;
        for (std::size_t tenant = 0; tenant < rates.size(); ++tenant) {
            refused += static_cast<double>(fleet.refused(tenant));
            arrived += static_cast<double>(fleet.arrived(tenant));
        }
        fleet.resetCounts();
        return refused / arrived;
    }

private:
    Size size_;

public:
    QuotaFleet fleet;
};

} // namespace

// Guards against refusals of a tenant that uses many VMs, one VM, or one after the other.
BOOST_DATA_TEST_CASE(tenantsWithinTheirQuotaAreNotRefusedInCalm, boost::unit_test::data::make(sizes), size)
{
    Tenants tenants(size, 1);
    tenants.fleet.run(60);
    BOOST_TEST(tenants.refusals() <= size.calmRefusals);
    for (std::size_t vm = 0; vm < 6; ++vm) {
        tenants.setLoad(usual, {vm});
        tenants.fleet.run(10);
    }
    BOOST_TEST(tenants.refusals() <= size.calmRefusals);
    BOOST_TEST(tenants.fleet.violation() == "");
}

// Guards against a hot tenant that gets its quota once for each VM, and against a burst on all of them at one moment.
BOOST_DATA_TEST_CASE(hotTenantGetsNoMoreThanItsQuota, boost::unit_test::data::make(sizes), size)
{
    Tenants tenants(size, 2);
    tenants.setLoad(hot, tenants.all());
    tenants.fleet.run(20);
    tenants.setLoad(hot, {2});
    tenants.fleet.run(20);
    // The bucket is used up to its rate, so that limits do not hold only because all is refused.
    BOOST_TEST(tenants.refusals() < 0.87);
    for (std::size_t tenant = 0; tenant < rates.size(); ++tenant) {
        tenants.fleet.burst(tenant, 200, tenants.all());
    }
    tenants.fleet.run(10);
    BOOST_TEST(tenants.fleet.violation() == "");
}

// Guards against sides of a partition that use the whole quota each, against a debt after it, and against long
// refusals.
BOOST_DATA_TEST_CASE(sidesOfAPartitionShareTheQuota, boost::unit_test::data::make(sizes), size)
{
    Tenants tenants(size, 3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        tenants.fleet.setGroup(vm, 1);
    }
    tenants.fleet.run(20);
    BOOST_TEST(tenants.refusals() < 0.3);
    tenants.fleet.heal();
    tenants.fleet.run(10);
    BOOST_TEST(tenants.refusals() < 0.08);
    tenants.setLoad(hot, tenants.all());
    for (std::size_t vm = 0; vm < size.vms; ++vm) {
        tenants.fleet.setGroup(vm, vm % 2);
    }
    tenants.fleet.run(40);
    for (std::size_t vm = 0; vm < size.vms; ++vm) {
        tenants.fleet.setGroup(vm, vm);
    }
    tenants.fleet.run(20);
    tenants.fleet.heal();
    tenants.fleet.run(10);
    BOOST_TEST(tenants.fleet.violation() == "");
}

// Guards against buckets that are full again after a start, and against knowledge from before a suspension.
BOOST_DATA_TEST_CASE(restartsAndSuspensionsAddNoTokens, boost::unit_test::data::make(sizes), size)
{
    Tenants tenants(size, 4);
    for (std::size_t round = 0; round < 10; ++round) {
        tenants.fleet.restart(round % 8);
        tenants.fleet.suspend((round + 3) % 8, 2);
        tenants.fleet.run(3);
    }
    BOOST_TEST(tenants.refusals() < 0.05);
    tenants.setLoad(hot, tenants.advertised());
    for (std::size_t round = 0; round < 20; ++round) {
        tenants.fleet.restart(round % 8);
        tenants.fleet.suspend((round + 3) % 8, 1.5);
        tenants.fleet.run(0.7);
    }
    BOOST_TEST(tenants.fleet.violation() == "");
}

// Guards against counts that are lost with a datagram, and against tokens of a former quota.
BOOST_DATA_TEST_CASE(lossDelayAndLoweredQuotasKeepTheSum, boost::unit_test::data::make(sizes), size)
{
    Tenants tenants(size, 5);
    tenants.fleet.setLoss(0.1);
    tenants.fleet.run(30);
    BOOST_TEST(tenants.refusals() < 0.02);
    tenants.setLoad(hot, tenants.advertised());
    tenants.fleet.run(10);
    for (double rate = 50; rate > 1; rate *= 0.7) {
        for (std::size_t tenant = 0; tenant < rates.size(); ++tenant) {
            tenants.fleet.setQuota(tenant, std::min(rate, rates[tenant]), minBurst);
        }
        tenants.fleet.run(3);
    }
    BOOST_TEST(tenants.fleet.violation() == "");
}

} // namespace sassafrasvane
