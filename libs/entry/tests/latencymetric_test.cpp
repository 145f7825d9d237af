#include "entry/latencymetric.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

namespace
{

bool contains(const std::string &text, const std::string &line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(latenciesAreCountedInEachBucketThatHoldsThem)
{
    LatencyMetric metric("request_seconds", "route");
    metric.add("lookup", "answered", std::chrono::milliseconds(4));
    metric.add("lookup", "answered", std::chrono::milliseconds(300));
    metric.add("lookup", "failed", std::chrono::seconds(20));
    std::string text;
    metric.appendText(text);
    const std::string answered = "{route=\"lookup\",end=\"answered\"";
    BOOST_TEST(contains(text, "# TYPE sassafrasvane_request_seconds histogram"));
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_bucket" + answered + ",le=\"0.0025\"} 0"));
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_bucket" + answered + ",le=\"0.005\"} 1"));
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_bucket" + answered + ",le=\"0.4\"} 2"));
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_count" + answered + "} 2"));
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_sum" + answered + "} 0.304"));
    const std::string failed = "{route=\"lookup\",end=\"failed\"";
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_bucket" + failed + ",le=\"6.4\"} 0"));
    BOOST_TEST(contains(text, "sassafrasvane_request_seconds_bucket" + failed + ",le=\"+Inf\"} 1"));
}

BOOST_AUTO_TEST_CASE(namesAreEscapedAndTheirNumberIsBounded)
{
    LatencyMetric metric("request_seconds", "route");
    metric.add("a\"b\\c", "answered", Duration(1));
    for (std::size_t name = 0; name < 2 * LatencyMetric::maxNames(); ++name) {
        metric.add("route-" + std::to_string(name), "answered", Duration(1));
    }
    std::string text;
    metric.appendText(text);
    BOOST_TEST(contains(text, R"(sassafrasvane_request_seconds_count{route="a\"b\\c",end="answered"} 1)"));
    const std::size_t kept = LatencyMetric::maxNames() - 1;
    const std::string others = std::to_string(2 * LatencyMetric::maxNames() - kept);
    BOOST_TEST(contains(text, R"(sassafrasvane_request_seconds_count{route="other",end="answered"} )" + others));
}

} // namespace sassafrasvane
