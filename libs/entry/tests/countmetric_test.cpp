#include "entry/countmetric.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

// Names come from a configuration, so they must not be able to add series without end.
BOOST_AUTO_TEST_CASE(seriesOfCountsAreBounded)
{
    CountMetric counts("requests_total", "tenant");
    std::string text;
    counts.appendText(text);
    BOOST_TEST(text.empty());
    for (std::size_t name = 0; name < CountMetric::maxNames() + 50; ++name) {
        counts.add("t" + std::to_string(name), "answered");
        counts.add("t" + std::to_string(name), "answered");
    }
    counts.appendText(text);
    BOOST_TEST(text.find("sassafrasvane_requests_total{tenant=\"t0\",end=\"answered\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("{tenant=\"other\",end=\"answered\"} 100\n") != std::string::npos);
    BOOST_TEST(text.find("\"t120\"") == std::string::npos);
    BOOST_TEST(counts.hasName("t0"));
    BOOST_TEST(!counts.hasName("t120"));
}
