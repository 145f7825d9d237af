/// \file
/// What metrics and tracing cost a query: the same work with each switched on and off in one run.
///
/// The work stands for the entry daemon's part of a query: 21 replies are decoded from JSON and their hits merged.

#include "base/random.h"
#include "observe/decisionjournal.h"
#include "observe/metrics.h"
#include "observe/tracesink.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace sassafrasvane
{

namespace
{

/// Leaf daemons that a query of the target's size crosses.
constexpr std::size_t leafCalls = 21;
constexpr std::size_t hitsPerReply = 10;

std::string replyText(Random &random)
{
    nlohmann::json hits = nlohmann::json::array();
    for (std::size_t i = 0; i < hitsPerReply; ++i) {
        hits.push_back(
            {{"key", random.below(1'000'000)}, {"score", random.unit()}, {"title", "lane slot on the track"}});
    }
    return nlohmann::json{{"index", 7}, {"parts", {1, 2, 3}}, {"hits", std::move(hits)}}.dump();
}

std::vector<std::string> replyTexts()
{
    Random random(1);
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < leafCalls; ++i) {
        texts.push_back(replyText(random));
    }
    return texts;
}

double mergeReplies(const std::vector<std::string> &texts)
{
    std::vector<double> scores;
    for (const std::string &text : texts) {
        const nlohmann::json reply = nlohmann::json::parse(text);
        for (const nlohmann::json &hit : reply.at("hits")) {
            scores.push_back(hit.at("score").get<double>());
        }
    }
    std::partial_sort(scores.begin(), scores.begin() + hitsPerReply, scores.end(), std::greater<>());
    return scores.front();
}

/// Records what the daemon records for one query.
class QueryRecorder
{
public:
    explicit QueryRecorder(double sampling)
        : sampling_(sampling)
        , sink_(TraceSink::Builder().write([](std::string_view) { return true; }).instance("bench").build().value())
    {
    }

    void recordMetrics(TimePoint now)
    {
        metrics_.classMetrics("lookup").recordAnswer(now, {std::chrono::milliseconds(40), 1, leafCalls, leafCalls});
    }

    void recordTrace()
    {
        const TraceContext root = TraceContext::root(random_, random_.chance(sampling_));
        for (std::size_t i = 0; i < leafCalls; ++i) {
            sink_->record(callSpan(root, i));
        }
        sink_->record(querySpan(root));
        sink_->finish(root, {});
        journal_.record({2, DecisionKind::SnapshotChosen, root.trace, "lookup", Address{}, "index version 7"});
    }

private:
    Span callSpan(const TraceContext &root, std::size_t leaf)
    {
        Span span;
        span.name = "leaf call";
        span.context = root.child(random_);
        span.parent = root.span;
        span.startMicros = 1;
        span.endMicros = 2;
        span.attributes = {{"leaf", static_cast<std::int64_t>(leaf)}, {"parts", std::int64_t{80}}};
        return span;
    }

    static Span querySpan(const TraceContext &root)
    {
        Span span;
        span.name = "query";
        span.context = root;
        span.startMicros = 1;
        span.endMicros = 2;
        span.attributes = {{"class", std::string("lookup")}, {"coverage", 1.0}};
        return span;
    }

    double sampling_;
    Random random_{2};
    Metrics metrics_;
    DecisionJournal journal_{DecisionJournal::defaultCapacity};
    std::unique_ptr<TraceSink> sink_;
};

/// Arguments: work on or off, metrics on or off, traces on or off, sampled traces in a thousand.
void runQuery(benchmark::State &state)
{
    const std::vector<std::string> texts = replyTexts();
    const bool hasWork = state.range(0) != 0;
    const bool hasMetrics = state.range(1) != 0;
    const bool hasTraces = state.range(2) != 0;
    QueryRecorder recorder(static_cast<double>(state.range(3)) / 1'000);
    for ([[maybe_unused]] const auto &iteration : state) {
        if (hasWork) {
            benchmark::DoNotOptimize(mergeReplies(texts));
        }
        if (hasMetrics) {
            recorder.recordMetrics(BootClock::now());
        }
        if (hasTraces) {
            recorder.recordTrace();
        }
    }
}

} // namespace

BENCHMARK(runQuery)
    ->Name("query")
    ->ArgNames({"work", "metrics", "traces", "sampled_permille"})
    ->Args({1, 0, 0, 0})
    ->Args({1, 1, 0, 0})
    ->Args({1, 1, 1, 1})
    ->Args({1, 1, 1, 1'000})
    ->Args({0, 1, 0, 0})
    ->Args({0, 1, 1, 1})
    ->Args({0, 1, 1, 1'000});

} // namespace sassafrasvane

BENCHMARK_MAIN();
