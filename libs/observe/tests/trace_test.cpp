#include "observe/trace.h"
#include "observe/tracesink.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <mutex>

namespace sassafrasvane
{

namespace
{

Span spanOf(const TraceContext &context, std::uint64_t startMicros, std::string name = "query")
{
    Span span;
    span.name = std::move(name);
    span.context = context;
    span.startMicros = startMicros;
    span.endMicros = startMicros + 5;
    return span;
}

TraceContext contextOf(std::uint64_t number, bool isSampled = false)
{
    return TraceContext{TraceId{1, number}, SpanId{number}, isSampled};
}

} // namespace

RC_BOOST_PROP(traceparentRoundTrip, (std::uint64_t seed, bool isSampled))
{
    Random random(seed);
    const TraceContext context = TraceContext::root(random, isSampled);
    RC_ASSERT(TraceContext::parse(context.toTraceparent()).value() == context);
    const TraceContext child = context.child(random);
    RC_ASSERT(child.trace == context.trace);
    RC_ASSERT(child.isSampled == isSampled);
    RC_ASSERT(child.span != context.span);
}

RC_BOOST_PROP(damagedTraceparentIsNeverMisread, (std::uint64_t seed, std::uint8_t position, char byte))
{
    Random random(seed);
    std::string text = TraceContext::root(random, true).toTraceparent();
    text[position % text.size()] = byte;
    const Result<TraceContext> read = TraceContext::parse(text);
    // Only the version and the flags have digits that the parsed context doesn't hold.
    if (read.has_value()) {
        RC_ASSERT(read.value().toTraceparent().substr(2, 51) == text.substr(2, 51));
    }
}

BOOST_AUTO_TEST_CASE(traceparentFollowsTheStandard)
{
    const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    BOOST_TEST(TraceContext::parse(good).has_value());
    BOOST_TEST(TraceContext::parse(good).value().isSampled);
    BOOST_TEST(TraceContext::parse("cc" + good.substr(2) + "-what").has_value());
    for (const std::string &bad : {std::string(),
                                   good + "-what",
                                   "ff" + good.substr(2),
                                   good.substr(0, 54),
                                   std::string("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
                                   std::string("00-00000000000000000000000000000000-b7ad6b7169203331-01"),
                                   std::string("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01")}) {
        BOOST_TEST(TraceContext::parse(bad).has_error(), bad);
    }
}

BOOST_AUTO_TEST_CASE(sampledAndNotableTracesAreKept)
{
    std::vector<std::string> lines;
    std::unique_ptr<TraceSink> sink = TraceSink::Builder()
                                          .write([&lines](std::string_view line) {
                                              lines.emplace_back(line);
                                              return true;
                                          })
                                          .instance("10.0.0.7:7001")
                                          .build()
                                          .value();
    const std::vector<TraceVerdict> verdicts{{}, {.isSlow = true}, {.isPartial = true}, {.isRefused = true}};
    for (std::uint64_t i = 0; i < verdicts.size(); ++i) {
        sink->record(spanOf(contextOf(i + 1), 10));
        sink->finish(contextOf(i + 1), verdicts[i]);
    }
    sink->record(spanOf(contextOf(9, true), 10));
    sink->finish(contextOf(9, true), {});
    BOOST_TEST(sink->find(TraceId{1, 1}).empty());
    BOOST_TEST(sink->find(TraceId{1, 3}).size() == 1U);
    BOOST_TEST(sink->recent(2).size() == 2U);
    BOOST_TEST((sink->recent(2).front() == TraceId{1, 9}));
    BOOST_TEST(sink->counts().passedOver == 1U);
    sink.reset();
    BOOST_TEST(lines.size() == 4U);
}

BOOST_AUTO_TEST_CASE(linesAreOtlpJson)
{
    std::string line;
    std::unique_ptr<TraceSink> sink = TraceSink::Builder()
                                          .write([&line](std::string_view text) {
                                              line = text;
                                              return true;
                                          })
                                          .instance("10.0.0.7:7001")
                                          .build()
                                          .value();
    Span span = spanOf(contextOf(5, true), 1'700'000'000'000'001);
    span.parent = SpanId{0xab};
    span.attributes = {{"class", std::string("lookup")}, {"calls", std::int64_t{7}}, {"coverage", 0.5}, {"late", true}};
    span.status = SpanStatus::Error;
    span.statusMessage = "timeout";
    sink->record(span);
    sink->finish(span.context, {});
    sink.reset();
    const nlohmann::json resource = nlohmann::json::parse(line).at("resourceSpans").at(0);
    BOOST_TEST(resource.at("resource").at("attributes").at(1).at("value").at("stringValue") == "10.0.0.7:7001");
    const nlohmann::json written = resource.at("scopeSpans").at(0).at("spans").at(0);
    BOOST_TEST(written.at("traceId") == "00000000000000010000000000000005");
    BOOST_TEST(written.at("spanId") == "0000000000000005");
    BOOST_TEST(written.at("parentSpanId") == "00000000000000ab");
    BOOST_TEST(written.at("startTimeUnixNano") == "1700000000000001000");
    BOOST_TEST(written.at("attributes").at(1).at("value").at("intValue") == "7");
    BOOST_TEST(written.at("attributes").at(3).at("value").at("boolValue") == true);
    BOOST_TEST(written.at("status").at("code") == 2);
}

BOOST_AUTO_TEST_CASE(fullQueueDropsAndCounts)
{
    std::mutex gate;
    std::unique_lock blocked(gate);
    TraceLimits limits;
    limits.queuedTraces = 3;
    std::unique_ptr<TraceSink> sink = TraceSink::Builder()
                                          .write([&gate](std::string_view) {
                                              const std::lock_guard wait(gate);
                                              return true;
                                          })
                                          .limits(limits)
                                          .build()
                                          .value();
    constexpr std::uint64_t traces = 20;
    for (std::uint64_t i = 1; i <= traces; ++i) {
        sink->record(spanOf(contextOf(i, true), i));
        sink->finish(contextOf(i, true), {});
    }
    // The writer holds at most one trace beside those in the queue.
    BOOST_TEST(sink->counts().droppedTraces >= traces - limits.queuedTraces - 1);
    blocked.unlock();
}

RC_BOOST_PROP(buffersStayBounded, (const std::vector<std::uint8_t> &traces))
{
    TraceLimits limits;
    limits.openTraces = 4;
    limits.spansPerTrace = 3;
    limits.openSpans = 8;
    limits.recentSpans = 5;
    const std::unique_ptr<TraceSink> sink = TraceSink::Builder().limits(limits).build().value();
    for (const std::uint8_t number : traces) {
        const TraceContext context = contextOf(number % 8 + 1, number % 3 == 0);
        if (number % 5 == 0) {
            sink->finish(context, {.isSlow = number % 2 == 0});
        } else {
            sink->record(spanOf(context, number));
        }
        std::size_t known = 0;
        for (std::uint64_t i = 1; i <= 8; ++i) {
            known += sink->find(TraceId{1, i}).size();
        }
        RC_ASSERT(known <= limits.openSpans + limits.recentSpans);
    }
}

} // namespace sassafrasvane
