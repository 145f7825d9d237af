#include "routing/routetable.h"

#include "base/time.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

namespace
{

RequestRoute route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RequestRoute route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.split = {{"desk", 1}};
    return route;
}

std::shared_ptr<const RouteTable> table()
{
    RoutingConfiguration configuration;
    configuration.version = 7;
    configuration.routes = {route("all", "a.example", "/"),
                            route("boards", "a.example", "/boards/"),
                            route("today", "a.example", "/boards/today/"),
                            route("other", "b.example", "/boards/")};
    configuration.backends = {{"desk", 26, 0, Duration(0)}};
    return RouteTable::create(configuration);
}

std::string matched(std::string_view host, std::string_view target)
{
    const std::shared_ptr<const RouteTable> routes = table();
    const RequestRoute *found = routes->match(host, target);
    return found == nullptr ? "none" : found->name;
}

} // namespace

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    BOOST_TEST(matched("a.example", "/boards/today/4") == "today");
    BOOST_TEST(matched("a.example", "/boards/tomorrow") == "boards");
    BOOST_TEST(matched("a.example", "/lanes") == "all");
    BOOST_TEST(matched("b.example", "/boards/today/4") == "other");
}

BOOST_AUTO_TEST_CASE(prefixEndsAtItsSlash)
{
    BOOST_TEST(matched("b.example", "/boards") == "none");
    BOOST_TEST(matched("b.example", "/boardsmore/x") == "none");
    BOOST_TEST(matched("b.example", "/boards/") == "other");
}

// Guards against a look-up whose time grows with the square of the slashes, so that a crowd of clients hangs a process.
BOOST_AUTO_TEST_CASE(pathOfManySlashesIsLookedUpInLittleTime)
{
    constexpr int lookups = 1'000;
    const std::string slashes(16'000, '/');
    const std::shared_ptr<const RouteTable> routes = table();
    const TimePoint begin = BootClock::now();
    for (int count = 0; count < lookups; ++count) {
        BOOST_REQUIRE(routes->match("b.example", slashes) == nullptr);
        BOOST_REQUIRE(routes->match("a.example", slashes) != nullptr);
    }
    BOOST_TEST((BootClock::now() - begin < std::chrono::seconds(1)));
    BOOST_TEST(matched("a.example", "/boards/today/" + slashes) == "today");
    BOOST_TEST(matched("b.example", "/boards/today/" + slashes) == "other");
}

BOOST_AUTO_TEST_CASE(queryIsNoPartOfThePath)
{
    BOOST_TEST(matched("b.example", "/x?y=/boards/") == "none");
    BOOST_TEST(matched("b.example", "/boards/x?y=/z/") == "other");
}

BOOST_AUTO_TEST_CASE(hostMatchIgnoresPortAndCase)
{
    BOOST_TEST(matched("B.Example:8080", "/boards/x") == "other");
    BOOST_TEST(matched("c.example", "/boards/x") == "none");
    BOOST_TEST(matched("", "") == "none");
}

// A key must not change its tenant because another one lists it too, or because the order of lookups differs.
BOOST_AUTO_TEST_CASE(firstTenantThatListsAKeyHoldsIt)
{
    RoutingConfiguration configuration;
    BOOST_TEST(RouteTable::create(configuration)->tenantOf(digestOf("a")) == nullptr);
    Tenant first;
    first.name = "first";
    first.keys = {digestOf("a"), digestOf("b")};
    Tenant second;
    second.name = "second";
    second.keys = {digestOf("b"), digestOf("c"), digestOf("c")};
    configuration.tenants = {first, second};
    const std::shared_ptr<const RouteTable> routes = RouteTable::create(configuration);
    BOOST_TEST(routes->tenantOf(digestOf("a"))->name == "first");
    BOOST_TEST(routes->tenantOf(digestOf("b"))->name == "first");
    BOOST_TEST(routes->tenantOf(digestOf("c"))->name == "second");
    BOOST_TEST(routes->tenantOf(digestOf("A")) == nullptr);
    BOOST_TEST(routes->tenantOf(digestOf("")) == nullptr);
    BOOST_REQUIRE(routes->repeatedKeys().size() == 2U);
    BOOST_TEST(routes->repeatedKeys()[0].holder->name == "first");
    BOOST_TEST(routes->repeatedKeys()[0].other->name == "second");
    BOOST_TEST(routes->repeatedKeys()[1].holder == routes->repeatedKeys()[1].other);
}

// The digest of an empty text in FIPS 180-4's SHA-256: guards against a digest over other bytes than those of the key.
BOOST_AUTO_TEST_CASE(digestIsSha256)
{
    BOOST_TEST(digestOf("").bytes[0] == 0xe3);
    BOOST_TEST(digestOf("").bytes[31] == 0x55);
}

BOOST_AUTO_TEST_CASE(backendsAreFoundByName)
{
    const std::shared_ptr<const RouteTable> routes = table();
    BOOST_REQUIRE(routes->backend("desk") != nullptr);
    BOOST_TEST(routes->backend("desk")->maxConnections == 26U);
    BOOST_TEST(routes->backend("none") == nullptr);
    BOOST_TEST(routes->version() == 7U);
}
