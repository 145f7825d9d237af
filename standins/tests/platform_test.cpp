#include "platformserver.h"

#include <boost/test/unit_test.hpp>

#include <future>

namespace sassafrasvane
{

namespace
{

struct Platform {
    explicit Platform(std::uint64_t callsPerSecond) : server(callsPerSecond, 16), address(server.http().startAnywhere())
    {
    }

    httplib::Client client() const { return httplib::Client(address.host(), address.port); }

    PlatformServer server;
    Address address;
};

nlohmann::json body(const httplib::Result &result)
{
    return result ? nlohmann::json::parse(result->body) : nlohmann::json();
}

} // namespace

BOOST_AUTO_TEST_CASE(valuesAreVersionedAndCanBeForcedBack)
{
    Platform platform(2000);
    httplib::Client client = platform.client();
    BOOST_TEST(client.Get("/v1/values/vms")->status == 404);
    client.Put("/control/values/vms", R"({"vms": []})", "application/json");
    client.Put("/control/values/vms", R"({"vms": [1]})", "application/json");
    BOOST_TEST(body(client.Get("/v1/values/vms")).at("version") == 2);
    client.Put("/control/values/vms?version=1", R"({"vms": []})", "application/json");
    BOOST_TEST(body(client.Get("/v1/values/vms")).at("version") == 1);
    BOOST_TEST(client.Get("/v1/values/vms?after=1&waitMs=1")->status == 304);
}

BOOST_AUTO_TEST_CASE(watchAnswersWhenTheValueChanges)
{
    Platform platform(2000);
    httplib::Client client = platform.client();
    client.Put("/control/values/shardmap", "{}", "application/json");
    std::future<httplib::Result> watch = std::async(
        std::launch::async, [&] { return platform.client().Get("/v1/values/shardmap?after=1&waitMs=60000"); });
    client.Put("/control/values/shardmap", R"({"a": 1})", "application/json");
    BOOST_TEST(body(watch.get()).at("version") == 2);
}

BOOST_AUTO_TEST_CASE(faultsAndTheLimitOfCallsShow)
{
    Platform platform(0);
    httplib::Client client = platform.client();
    client.Put("/control/values/vms", "{}", "application/json");
    BOOST_TEST(client.Get("/v1/values/vms")->status == 429);
    client.Post("/control/faults", R"({"down": true})", "application/json");
    BOOST_TEST(client.Get("/v1/values/vms")->status == 503);
    const nlohmann::json calls = body(client.Get("/control/calls"));
    BOOST_TEST(calls.at("total") == 2);
    BOOST_TEST(calls.at("refused") == 2);
}

BOOST_AUTO_TEST_CASE(staleServiceKeepsTheOldValue)
{
    Platform platform(2000);
    httplib::Client client = platform.client();
    client.Put("/control/values/vms", "{}", "application/json");
    client.Post("/control/faults", R"({"stale": true})", "application/json");
    client.Put("/control/values/vms", R"({"a": 1})", "application/json");
    BOOST_TEST(body(client.Get("/v1/values/vms")).at("version") == 1);
    client.Post("/control/faults", R"({"stale": false})", "application/json");
    BOOST_TEST(body(client.Get("/v1/values/vms")).at("version") == 2);
}

} // namespace sassafrasvane
