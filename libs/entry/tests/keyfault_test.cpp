#include "entry/keyfault.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

namespace
{

std::optional<KeyFault> faultOf(const std::optional<std::vector<Tenant>> &tenants,
                                bool isPublic,
                                const RequestMetadata &metadata)
{
    RoutingConfiguration configuration;
    configuration.routes.emplace_back().isPublic = isPublic;
    configuration.tenants = tenants;
    const std::shared_ptr<const RouteTable> routes = RouteTable::create(configuration);
    return keyFault(*routes, routes->configuration().routes.front(), metadata);
}

} // namespace

// Guards against refusals where nobody has asked for keys, and against a public route that accepts wrong keys.
BOOST_AUTO_TEST_CASE(keysAreCheckedWhereThereAreTenants)
{
    RequestMetadata none;
    RequestMetadata known;
    known.apiKey = digestOf("k1");
    RequestMetadata unknown;
    unknown.apiKey = digestOf("k2");
    RequestMetadata unreadable;
    unreadable.isApiKeyUnreadable = true;
    Tenant tenant;
    tenant.keys = {digestOf("k1")};
    for (const RequestMetadata &metadata : {none, known, unknown, unreadable}) {
        BOOST_TEST(!faultOf(std::nullopt, false, metadata).has_value());
    }
    for (const bool isPublic : {false, true}) {
        const std::vector<Tenant> tenants{tenant};
        BOOST_TEST(!faultOf(tenants, isPublic, known).has_value());
        BOOST_TEST((faultOf(tenants, isPublic, unknown) == KeyFault::Unknown));
        BOOST_TEST((faultOf(tenants, isPublic, unreadable) == KeyFault::Unreadable));
        BOOST_TEST((faultOf(std::vector<Tenant>{}, isPublic, known) == KeyFault::Unknown));
    }
    BOOST_TEST((faultOf(std::vector<Tenant>{tenant}, false, none) == KeyFault::Missing));
    BOOST_TEST(!faultOf(std::vector<Tenant>{tenant}, true, none).has_value());
}
