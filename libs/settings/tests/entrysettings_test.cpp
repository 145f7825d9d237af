#include "settings/entrysettings.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

namespace
{

const std::string valid = R"({
    "vm": "front-1", "failureDomain": "a", "region": "r",
    "listeners": {"callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "directory": "10.0.0.1:3", "control": "10.0.0.1:4"},
    "peerPort": 7740, "metricsPort": 9464, "seeds": ["10.0.0.1:4", "10.0.0.2:4"], "store": "10.0.9.1:5",
    "firstStart": true, "memoryMb": 260, "fileDescriptors": 4100,
    "bounds": {"stopGraceS": 6, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "coldFactor": 1.5,
               "coldSlack": 5, "directoryLifetimeS": 5}
})";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = valid;
    return text.replace(text.find(from), from.size(), to);
}

std::string faultOf(const std::string &text)
{
    const Result<EntrySettings> settings = readEntrySettings(text);
    return settings.has_error() ? settings.error().detail : "none";
}

} // namespace

BOOST_AUTO_TEST_CASE(entrySettingsAreRead)
{
    const Result<EntrySettings> settings = readEntrySettings(valid);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().vm == "front-1");
    BOOST_TEST(settings.value().listeners.directory.port == 3);
    BOOST_TEST(settings.value().seeds.size() == 2U);
    BOOST_TEST(settings.value().isFirstStart);
    BOOST_TEST((settings.value().bounds.stopGrace == Duration(std::chrono::seconds(6))));
    BOOST_TEST(settings.value().bounds.retrySlack == 56);
}

// Guards against a process that does not start where the platform names no tolerance, or ignores the one that it names.
BOOST_AUTO_TEST_CASE(quotaToleranceIsOptional)
{
    const EntryBounds without = readEntrySettings(valid).value().bounds;
    BOOST_TEST((without.quotaWindow == Duration(std::chrono::seconds(5))));
    BOOST_TEST(without.quotaSlack == 0);
    const std::string tolerance
        = R"("quotaTolerance": {"quotaWindowS": 4, "quotaOverage": 0.25, "quotaSlack": 20, "other": 1}, "vm")";
    const EntryBounds with = readEntrySettings(replaced("\"vm\"", tolerance)).value().bounds;
    BOOST_TEST((with.quotaWindow == Duration(std::chrono::seconds(4))));
    BOOST_TEST(with.quotaOverage == 0.25);
    BOOST_TEST(with.quotaSlack == 20);
    const std::string negative = R"("quotaTolerance": {"quotaSlack": -1}, "vm")";
    BOOST_TEST(faultOf(replaced("\"vm\"", negative)).find("/quotaTolerance/quotaSlack") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(faultsAreNamedWithTheirPlace)
{
    BOOST_TEST(faultOf(replaced("\"10.0.0.1:2\"", "\"nowhere\"")).find("/listeners/readiness") != std::string::npos);
    BOOST_TEST(faultOf(replaced("10.0.0.1:2", "10.0.0.1:3")).find("same address") != std::string::npos);
    BOOST_TEST(faultOf(replaced("\"retryRatio\": 0.2", "\"retryRatio\": 2")).find("/bounds/retryRatio")
               != std::string::npos);
    BOOST_TEST(faultOf(replaced("\"vm\"", "\"wm\"")).find("/wm") != std::string::npos);
    BOOST_TEST(faultOf(replaced("\"seeds\": [\"10.0.0.1:4\"", "\"seeds\": [\"x\"")).find("/seeds")
               != std::string::npos);
    BOOST_TEST(faultOf("not json") != "none");
    BOOST_TEST(faultOf("{}").find("/store") != std::string::npos);
}
