#include "settings/processsettings.h"
#include "settings/published.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

bool mentions(const Error &error, const std::string &text)
{
    return error.detail.find(text) != std::string::npos;
}

const char *const goodConfiguration = R"({
    // Comments are allowed.
    "classes": [{"name": "lookup", "backEnd": "riders", "latencyMs": 80, "percentile": 99, "completeness": 0.99,
                 "extraLoadPercent": 5}],
    "backEnds": [{"name": "riders", "slots": 2, "connections": 25, "connectionCostMs": 6, "coldAllowance": 1}],
    "domainsOut": ["b"]
})";

} // namespace

BOOST_AUTO_TEST_CASE(configurationIsRead)
{
    const Result<Configuration> read = readConfiguration(goodConfiguration, ConfigVersion{3});
    BOOST_REQUIRE(read.has_value());
    const Configuration &configuration = read.value();
    BOOST_TEST((configuration.version == ConfigVersion{3}));
    BOOST_TEST(configuration.classes.at(0).target.extraLoad == 0.05);
    BOOST_TEST(configuration.findBackEnd("riders")->slots == 2U);
    BOOST_TEST(configuration.isOut("b"));
    BOOST_TEST(!configuration.isOut("a"));
}

BOOST_AUTO_TEST_CASE(configurationNamesEveryFaultAtOnce)
{
    const Result<Configuration> read = readConfiguration(R"({
        "classes": [{"name": "lookup", "backEnd": "nobody", "latencyMs": 0, "percentile": 99, "completeness": 0.99,
                     "extraLoadPercentt": 5}],
        "backEnds": [{"name": "riders", "slots": 2.5, "connections": 25, "connectionCostMs": 6, "coldAllowance": 9}]
    })",
                                                         ConfigVersion{1});
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST(mentions(read.error(), "/classes/0/backEnd: \"nobody\" is not among /backEnds"));
    BOOST_TEST(mentions(read.error(), "/classes/0/latencyMs: 0 is not a number from 1"));
    BOOST_TEST(mentions(read.error(), "the nearest known name is \"extraLoadPercent\""));
    BOOST_TEST(mentions(read.error(), "/backEnds/0/slots: 2.5 is not a whole number"));
    BOOST_TEST(mentions(read.error(), "/backEnds/0/coldAllowance: is more than the slots"));
}

BOOST_AUTO_TEST_CASE(wrongShapesAreFaultsNotCrashes)
{
    for (const char *text :
         {"", "[]", "{", "3", "{\"classes\": 3}", "{\"classes\": [3]}", "{\"classes\": {}, \"backEnds\": null}"}) {
        BOOST_TEST(readConfiguration(text, ConfigVersion{1}).has_error(), text);
        BOOST_TEST(readShardMap(text, ConfigVersion{1}).has_error(), text);
        BOOST_TEST(readVmList(text, ConfigVersion{1}).has_error(), text);
        BOOST_TEST(readProcessSettings(text).has_error(), text);
    }
}

BOOST_AUTO_TEST_CASE(shardMapIsRead)
{
    const Result<ShardMap> map = readShardMap(R"({"backEnds": [{"name": "riders",
        "searchers": [{"id": 1, "address": "127.0.0.1:9001", "failureDomain": "a", "state": "leaving"}],
        "versions": [{"index": 7, "parts": [{"id": 0, "begin": 0, "end": 10, "searchers": [1]}]}]}]})",
                                              ConfigVersion{2});
    BOOST_REQUIRE(map.has_value());
    BOOST_TEST((map.value().searcher(SearcherId{1})->state == ServerState::Leaving));
    BOOST_TEST((map.value().find("riders")->versions.at(0).version == IndexVersion{7}));
}

BOOST_AUTO_TEST_CASE(processSettingsNeedAKey)
{
    const Result<ProcessSettings> settings
        = readProcessSettings(R"({"callers": "127.0.0.1:7001", "peers": "127.0.0.1:7101",
        "operators": "127.0.0.1:7201", "platform": "127.0.0.1:8000", "failureDomain": "a", "region": "nairobi",
        "peerKeys": ["short"], "operatorKey": "x"})");
    BOOST_REQUIRE(settings.has_error());
    BOOST_TEST(mentions(settings.error(), "/peerKeys: a key has fewer than 16 characters"));
}

BOOST_AUTO_TEST_CASE(unreadableFilesAreErrors)
{
    for (const char *path : {"/", "/nowhere/at/all", "/dev/null", "/dev/zero"}) {
        const Result<ProcessSettings> settings = readProcessSettingsFile(path);
        BOOST_REQUIRE_MESSAGE(settings.has_error(), path);
        BOOST_TEST((settings.error().step == Step::Settings));
    }
}

} // namespace sassafrasvane
