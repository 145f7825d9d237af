#include "wire/backendapi.h"
#include "wire/callerapi.h"

#include <boost/test/unit_test.hpp>

namespace sassafrasvane
{

BOOST_AUTO_TEST_CASE(callerQueryIsChecked)
{
    const Result<CallerQuery> query
        = readCallerQuery(R"({"class": "lookup", "query": "lane", "limit": 3, "deadlineMs": 40})");
    BOOST_REQUIRE(query.has_value());
    BOOST_TEST(query.value().hitLimit == 3U);
    BOOST_TEST((query.value().timeLeft == fromMilliseconds(40)));
    for (const char *text : {"",
                             "[]",
                             R"({"class": "x"})",
                             R"({"class": 1, "query": "q"})",
                             R"({"class": "x", "query": "q", "weight": 1})",
                             R"({"class": "x", "query": "q", "limit": -1})",
                             R"({"class": "x", "query": "q", "deadlineMs": 0})"}) {
        const Result<CallerQuery> bad = readCallerQuery(text);
        BOOST_REQUIRE(bad.has_error());
        BOOST_TEST((bad.error().errc() == Errc::InvalidRequest), text);
    }
    BOOST_TEST((readCallerQuery(std::string(maxCallerBody + 1, ' ')).error().errc() == Errc::TooLarge));
}

BOOST_AUTO_TEST_CASE(callerRunKeepsTheRequestAsItIs)
{
    const Result<CallerRun> run = readCallerRun(R"({"class": "booking", "request": {"lane": 4}})");
    BOOST_REQUIRE(run.has_value());
    BOOST_TEST(run.value().request == R"({"lane":4})");
    BOOST_TEST(readCallerRun(R"({"class": "booking", "request": 4})").has_error());
}

BOOST_AUTO_TEST_CASE(errorSaysWhetherTheWorkRan)
{
    const std::string text
        = writeError(Error(Errc::Overloaded, Step::Queue, "", "busy"), Ran::No, "t", fromMilliseconds(20));
    BOOST_TEST(text.find(R"("ran":"no")") != std::string::npos);
    BOOST_TEST(text.find(R"("retryAfterMs":20)") != std::string::npos);
    BOOST_TEST(httpStatus(Errc::Overloaded) == 503);
}

BOOST_AUTO_TEST_CASE(searcherAnswersAreDecoded)
{
    const BackEndAnswer answered
        = readBackEndAnswer(200, R"({"index": 4, "incarnation": 9, "parts": [{"part": 1, "hits":
        [{"key": 3, "score": 0.5, "body": "b"}]}], "load": {"running": 1, "waiting": 2}})");
    BOOST_TEST((answered.outcome == CallOutcome::Answered));
    BOOST_TEST((answered.version == IndexVersion{4}));
    BOOST_TEST(answered.reportedLoad == 3);
    BOOST_TEST(answered.parts.at(0).hits.at(0).key == 3U);
    const BackEndAnswer cold = readBackEndAnswer(503, R"({"refused": "cold", "incarnation": 9})");
    BOOST_TEST((cold.outcome == CallOutcome::Refused));
    BOOST_TEST(cold.saysCold);
    BOOST_TEST((readBackEndAnswer(409, R"({"refused": "version"})").outcome == CallOutcome::WrongVersion));
    BOOST_TEST((readBackEndAnswer(504, R"({"cancelled": true})").error == Errc::Cancelled));
    for (const char *text : {"",
                             "[]",
                             "{\"parts\": 3}",
                             "{\"index\": \"x\"}",
                             "{\"parts\": [{}]}",
                             "{\"index\": -1}",
                             "{\"incarnation\": 1.5}",
                             "{\"parts\": [{\"part\": 4294967297, \"hits\": []}]}",
                             "{\"load\": {\"running\": 1e300}}"}) {
        BOOST_TEST((readBackEndAnswer(200, text).outcome == CallOutcome::Failed), text);
    }
    BOOST_TEST((readBackEndAnswer(500, "{}").outcome == CallOutcome::Failed));
}

} // namespace sassafrasvane
