#include "quotaworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(allVmsTogetherAdmitNoMoreThanTheQuota, ())
{
    QuotaWorld world;
    fuzzWorld(world);
}

// Guards against rules that keep the sum by refusing callers that use one VM.
BOOST_AUTO_TEST_CASE(tenantOnOneVmUsesItsQuota)
{
    QuotaFleet fleet(QuotaFleet::Parameters{.vms = 6, .advertised = 4}, 1);
    const std::size_t tenant = fleet.addTenant({"a", 20, 10});
    constexpr double usualRate = 12.5;
    for (std::size_t vm = 0; vm < 4; ++vm) {
        fleet.setLoad(tenant, usualRate, {vm});
        fleet.run(10);
        // The buckets are empty at the start.
        if (vm > 0) {
            BOOST_TEST(fleet.refused(tenant) * 100 <= fleet.arrived(tenant));
        }
        fleet.resetCounts();
    }
}

} // namespace sassafrasvane
