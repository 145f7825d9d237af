#include "entry/requesttrace.h"

#include <boost/test/unit_test.hpp>

using namespace sassafrasvane;

namespace
{

http::Request requestWith(const char *traceparent)
{
    http::Request request(boost::beast::http::verb::get, "/board/x", 11);
    request.set("traceparent", traceparent);
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_trace)

BOOST_AUTO_TEST_CASE(sampledTraceOfTheCallerGoesOn)
{
    Random random(1);
    const http::Request request = requestWith("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    const std::optional<TraceSpan> span = beginTrace(request, random);
    BOOST_REQUIRE(span.has_value());
    BOOST_TEST(span->context.trace.toString() == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(span->parent.value == 0xb7ad6b7169203331U);
    BOOST_TEST(span->isPropagated);

    const TraceSpan call = childSpan(*span, random);
    BOOST_TEST((call.context.trace == span->context.trace));
    BOOST_TEST((call.parent == span->context.span));
    http::Request sent;
    writeTraceHeader(sent, call);
    BOOST_TEST((TraceContext::parse(http::headerOf(sent, "traceparent")).value() == call.context));
}

BOOST_AUTO_TEST_CASE(unsampledAndUnreadableTracesAreNotRecorded)
{
    Random random(1);
    for (const char *header : {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", "nonsense"}) {
        BOOST_TEST(!beginTrace(requestWith(header), random).has_value());
    }
}

BOOST_AUTO_TEST_CASE(fewRequestsOfOtherCallersAreRecordedAndNotPassedOn)
{
    Random random(1);
    const http::Request request(boost::beast::http::verb::get, "/board/x", 11);
    std::size_t recorded = 0;
    constexpr std::size_t requests = 100 * requestsPerTrace;
    for (std::size_t number = 0; number < requests; ++number) {
        const std::optional<TraceSpan> span = beginTrace(request, random);
        recorded += span ? 1 : 0;
        BOOST_TEST(!(span && span->isPropagated));
    }
    BOOST_TEST(recorded > 50U);
    BOOST_TEST(recorded < 200U);
}

BOOST_AUTO_TEST_SUITE_END()
