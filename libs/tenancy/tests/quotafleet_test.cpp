#include "quotafleet.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

namespace sassafrasvane
{

namespace
{

constexpr double usualShare = 1 / 1.6;

/// Tenants of different sizes, at their usual rates over all advertised VMs.
void addUsualTenants(QuotaFleet &fleet, std::size_t advertised)
{
    for (const double rate : {60.0, 20.0, 5.0, 2.0, 0.5}) {
        const std::size_t tenant = fleet.addTenant({"t" + std::to_string(rate), rate, std::max(4.0, rate)});
        fleet.setLoad(tenant, rate * usualShare, QuotaFleet::range(0, advertised));
    }
}

void printRefusals(const char *what, const QuotaFleet &fleet)
{
    std::cout << what << ":";
    for (std::size_t t = 0; t < 5; ++t)
        std::cout << " " << fleet.refused(t) << "/" << fleet.arrived(t);
    std::cout << " msgs " << fleet.messages() << " violation: " << fleet.violation() << std::endl;
}

struct Size {
    std::size_t vms, advertised;
};
const std::vector<Size> sizes{{8, 8}, {91, 12}, {300, 24}};

} // namespace

BOOST_AUTO_TEST_CASE(trial)
{
    for (const Size size : sizes) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            std::cout << size.vms << "/" << size.advertised << " seed " << seed << std::endl;
            QuotaFleet fleet({.vms = size.vms, .advertised = size.advertised}, seed);
            addUsualTenants(fleet, size.advertised);
            fleet.run(10);
            printRefusals("start", fleet);
            fleet.resetCounts();
            fleet.run(60);
            printRefusals("calm", fleet);
            fleet.resetCounts();
            for (std::size_t vm = 0; vm < 6; ++vm) {
                for (std::size_t t = 0; t < 5; ++t)
                    fleet.setLoad(
                        t, fleet.vmCount() ? (std::vector<double>{60, 20, 5, 2, .5})[t] * usualShare : 0, {vm});
                fleet.run(10);
            }
            printRefusals("moving", fleet);
            fleet.resetCounts();
            for (std::size_t t = 0; t < 5; ++t)
                fleet.setLoad(
                    t, (std::vector<double>{60, 20, 5, 2, .5})[t] * usualShare * 8, QuotaFleet::range(0, size.vms));
            fleet.run(20);
            printRefusals("8x on all", fleet);
            for (std::size_t t = 0; t < 5; ++t)
                fleet.setLoad(t, (std::vector<double>{60, 20, 5, 2, .5})[t] * usualShare * 8, {2});
            fleet.run(20);
            printRefusals("8x on one", fleet);
            for (std::size_t t = 0; t < 5; ++t)
                fleet.burst(t, 200, QuotaFleet::range(0, size.vms));
            fleet.run(20);
            printRefusals("bursts", fleet);
            for (std::size_t t = 0; t < 5; ++t)
                fleet.setLoad(
                    t, (std::vector<double>{60, 20, 5, 2, .5})[t] * usualShare, QuotaFleet::range(0, size.advertised));
            fleet.run(20);
            fleet.resetCounts();
            for (std::size_t vm = 0; vm < 3; ++vm)
                fleet.setGroup(vm, 1);
            fleet.run(20);
            printRefusals("partition 3", fleet);
            fleet.resetCounts();
            fleet.heal();
            fleet.run(10);
            printRefusals("heal", fleet);
            for (std::size_t t = 0; t < 5; ++t)
                fleet.setLoad(
                    t, (std::vector<double>{60, 20, 5, 2, .5})[t] * usualShare * 8, QuotaFleet::range(0, size.vms));
            fleet.run(5);
            for (std::size_t vm = 0; vm < size.vms; ++vm)
                fleet.setGroup(vm, vm % 2);
            fleet.run(50);
            printRefusals("halves 8x", fleet);
            for (std::size_t vm = 0; vm < size.vms; ++vm)
                fleet.setGroup(vm, vm);
            fleet.run(50);
            printRefusals("singles 8x", fleet);
            fleet.heal();
            fleet.run(20);
            for (int n = 0; n < 20; ++n) {
                fleet.restart(n % 8);
                fleet.suspend((n + 3) % 8, 1.5);
                fleet.run(0.7);
            }
            printRefusals("restarts, suspensions 8x", fleet);
            for (int n = 0; n < 20; ++n) {
                for (std::size_t t = 0; t < 5; ++t)
                    fleet.setQuota(t, (n % 3 + 1) * 3, 4);
                fleet.run(2);
            }
            printRefusals("quotas", fleet);
        }
    }
}

} // namespace sassafrasvane
