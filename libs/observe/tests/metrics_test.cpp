#include "observe/decisionjournal.h"
#include "observe/metrics.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

constexpr TimePoint start{Duration(1'000'000)};

double exactQuantile(std::vector<double> values, double probability)
{
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(static_cast<double>(values.size()) * probability);
    return values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

} // namespace

RC_BOOST_PROP(tailQuantilesAreExact, ())
{
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 5'000);
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    ClassMetrics metrics("lookup");
    std::vector<double> latencies;
    std::vector<double> coverages;
    for (std::size_t i = 0; i < count; ++i) {
        AnswerSample sample;
        sample.latency = Duration(static_cast<std::int64_t>(random.below(100'000)));
        sample.coverage = random.unit();
        metrics.recordAnswer(start, sample);
        latencies.push_back(toMilliseconds(sample.latency));
        coverages.push_back(sample.coverage);
    }
    const ClassSummary summary = metrics.summary(start);
    RC_ASSERT(summary.windowAnswers == count);
    RC_ASSERT(summary.p99Ms == exactQuantile(latencies, 0.99));
    RC_ASSERT(summary.p999Ms == exactQuantile(latencies, 0.999));
    RC_ASSERT(summary.coverageLeast == *std::min_element(coverages.begin(), coverages.end()));
    RC_ASSERT(summary.coverageP1 == exactQuantile(coverages, 0.01));
    // P-square estimates the median; the latencies are uniform over 100 ms.
    RC_ASSERT(std::abs(summary.p50Ms - exactQuantile(latencies, 0.5)) <= 5);
}

BOOST_AUTO_TEST_CASE(windowsFollowTheTime)
{
    ClassMetrics metrics("lookup");
    metrics.recordAnswer(start, {std::chrono::milliseconds(500), 0.25, 30, 20});
    BOOST_TEST(metrics.summary(start).extraLoad == 0.5);
    const TimePoint next = start + std::chrono::seconds(31);
    metrics.recordAnswer(next, {std::chrono::milliseconds(10), 1, 20, 20});
    BOOST_TEST(metrics.summary(next).p99Ms == 500);
    const TimePoint later = next + std::chrono::seconds(31);
    BOOST_TEST(metrics.summary(later).p99Ms == 10);
    BOOST_TEST(metrics.summary(later).coverageLeast == 1);
    const ClassSummary idle = metrics.summary(later + std::chrono::minutes(5));
    BOOST_TEST(idle.windowAnswers == 0U);
    BOOST_TEST(idle.answers == 2U);
    BOOST_TEST(idle.sentCalls == 50U);
}

BOOST_AUTO_TEST_CASE(prometheusTextNamesTheMeasures)
{
    Metrics metrics;
    ClassMetrics &lookup = metrics.classMetrics("look\"up");
    lookup.recordAnswer(start, {std::chrono::milliseconds(250), 0.5, 3, 2});
    lookup.recordRefusal(Errc::Overloaded);
    metrics.counter("connections_total", "Connections", {{"side", "callers"}}).add(4);
    metrics.gauge("configuration_age_seconds", "Age").set(1.5);
    const std::string text = metrics.prometheusText(start);
    for (const char *line : {"sassafrasvane_answer_latency_seconds{class=\"look\\\"up\",quantile=\"0.99\"} 0.25\n",
                             "sassafrasvane_answer_latency_seconds_count{class=\"look\\\"up\"} 1\n",
                             "sassafrasvane_answer_coverage{class=\"look\\\"up\",stat=\"least\"} 0.5\n",
                             "sassafrasvane_extra_load_ratio{class=\"look\\\"up\"} 0.5\n",
                             "sassafrasvane_refusals_total{class=\"look\\\"up\",reason=\"overloaded\"} 1\n",
                             "# TYPE connections_total counter\nconnections_total{side=\"callers\"} 4\n",
                             "configuration_age_seconds 1.5\n"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
}

BOOST_AUTO_TEST_CASE(seriesAreBounded)
{
    Metrics metrics;
    for (std::size_t i = 0; i < Metrics::maxSeries + 100; ++i) {
        metrics.counter("calls_total", "Calls", {{"peer", std::to_string(i)}}).add();
    }
    for (std::size_t i = 0; i < Metrics::maxClasses + 10; ++i) {
        metrics.classMetrics(std::to_string(i)).recordRefusal(Errc::Draining);
    }
    const std::string text = metrics.prometheusText(start);
    std::size_t series = 0;
    for (std::size_t at = 0; (at = text.find("\ncalls_total{", at)) != std::string::npos; ++at) {
        ++series;
    }
    BOOST_TEST(series == Metrics::maxSeries);
    BOOST_TEST(metrics.classSummaries(start).size() == Metrics::maxClasses + 1);
    BOOST_TEST(text.find("sassafrasvane_series_over_bound_total 110\n") != std::string::npos);
    BOOST_TEST(&metrics.counter("calls_total", "Calls", {{"peer", "7"}})
               == &metrics.counter("calls_total", "Calls", {{"peer", "7"}}));
}

RC_BOOST_PROP(journalKeepsTheNewestOfEachKind, (const std::vector<std::uint8_t> &servers))
{
    constexpr std::size_t capacity = 16;
    DecisionJournal journal(capacity);
    std::vector<Decision> all;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const Address server{1, static_cast<std::uint16_t>(servers[i] % 3 + 1)};
        all.push_back({i, DecisionKind::HedgeSent, TraceId{1, i % 4 + 1}, "lookup", server, "text"});
        journal.record(all.back());
    }
    if (all.size() > capacity) {
        all.erase(all.begin(), all.end() - capacity);
    }
    std::erase_if(all, [](const Decision &decision) { return decision.server.port != 2; });
    const std::vector<Decision> found = journal.find({.server = Address{1, 2}});
    RC_ASSERT(found.size() == all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        RC_ASSERT(found[i].timeMicros == all[i].timeMicros);
    }
    RC_ASSERT(journal.find({.cls = "other"}).empty());
    RC_ASSERT(journal.find({.limit = 2}).size() == std::min<std::size_t>(2, std::min(capacity, servers.size())));
}

BOOST_AUTO_TEST_CASE(kindNamesAreReadBack)
{
    for (int i = 0; i <= static_cast<int>(DecisionKind::Draining); ++i) {
        const DecisionKind kind = static_cast<DecisionKind>(i);
        BOOST_TEST((decisionKind(name(kind)) == kind));
    }
    BOOST_TEST(!decisionKind("nonsense").has_value());
}

} // namespace sassafrasvane
