#include "admission/classcontroller.h"
#include "admission/crashbar.h"
#include "admission/entryadmission.h"
#include "admission/extraloadbudget.h"
#include "admission/searchergate.h"
#include "allocationcount.h"
#include "base/random.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <vector>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

const TimePoint origin{100s};
const ClassTarget target{130ms, 99, 0.99, 0.05};

/// Reports the time and the allocations per decision. \param decisions the number of decisions per iteration.
void report(benchmark::State &state, std::uint64_t allocationsBefore, std::size_t decisions)
{
    const double total = static_cast<double>(state.iterations()) * static_cast<double>(decisions);
    state.counters["allocations"] = static_cast<double>(allocationCount() - allocationsBefore) / total;
    state.counters["per_decision"]
        = benchmark::Counter(total, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

std::vector<SearcherGate> warmGates(std::size_t count)
{
    const BackEndLimits limits{"riders", 2, 25, 6ms, 1};
    std::vector<SearcherGate> gates(count, SearcherGate::Builder().limits(limits).share({0, 2}).build());
    GateActions actions;
    for (SearcherGate &gate : gates) {
        for (std::uint64_t call = 1; call <= 100; ++call) {
            gate.offer(origin, {CallId{call}, ClassIndex{0}, origin + 1s}, actions);
            gate.onResult(origin, {CallId{call}, GateResult::End::Answered, 1ms, Incarnation{1}}, actions);
        }
        actions.clear();
    }
    return gates;
}

/// One offer and one result at each of the searchers of a query.
void gateStart(benchmark::State &state)
{
    const std::size_t searchers = static_cast<std::size_t>(state.range(0));
    std::vector<SearcherGate> gates = warmGates(searchers);
    GateActions actions;
    TimePoint now = origin;
    std::uint64_t call = 1000;
    const std::uint64_t before = allocationCount();
    for (auto _ : state) {
        ++call;
        now += 10us;
        for (SearcherGate &gate : gates) {
            actions.clear();
            gate.offer(now, {CallId{call}, ClassIndex{0}, now + 100ms}, actions);
            gate.onResult(now + 1ms, {CallId{call}, GateResult::End::Answered, 1ms, Incarnation{1}}, actions);
            benchmark::DoNotOptimize(actions.start.data());
        }
    }
    report(state, before, 2 * searchers);
}

/// As gateStart(), but with a queue at each searcher of as many calls as can be served in time.
void gateQueue(benchmark::State &state)
{
    const std::size_t searchers = static_cast<std::size_t>(state.range(0));
    std::vector<SearcherGate> gates = warmGates(searchers);
    std::vector<CallId> running(searchers);
    GateActions actions;
    TimePoint now = origin;
    std::uint64_t call = 1000;
    for (std::size_t i = 0; i < searchers; ++i) {
        actions.clear();
        for (int waiting = 0; waiting < 40; ++waiting) {
            gates[i].offer(now, {CallId{++call}, ClassIndex{0}, now + 100ms}, actions);
        }
        running[i] = actions.start.front();
    }
    const std::uint64_t before = allocationCount();
    for (auto _ : state) {
        now += 1ms;
        for (std::size_t i = 0; i < searchers; ++i) {
            actions.clear();
            gates[i].offer(now, {CallId{++call}, ClassIndex{0}, now + 100ms}, actions);
            gates[i].onResult(now, {running[i], GateResult::End::Answered, 1ms, Incarnation{1}}, actions);
            running[i] = actions.start.empty() ? running[i] : actions.start.front();
        }
    }
    report(state, before, 2 * searchers);
}

/// Work of the class controller and the extra-load budget for one query over the given number of searchers.
void queryController(benchmark::State &state)
{
    const std::size_t searchers = static_cast<std::size_t>(state.range(0));
    ClassController controller(target, GivesWay::Coverage);
    ExtraLoadBudget budget(target.extraLoad);
    Random random(1);
    const std::uint64_t before = allocationCount();
    for (auto _ : state) {
        benchmark::DoNotOptimize(controller.bounds());
        budget.onNeeded(searchers);
        for (std::size_t i = 0; i < searchers; ++i) {
            controller.onCall(Duration{1000 + static_cast<Duration::rep>(i)});
            budget.onResult(origin, true);
        }
        const std::size_t extra = budget.spend(origin) ? 1 : 0;
        controller.onQuery({Duration{static_cast<Duration::rep>(random.below(100'000))}, 1, 1, searchers, extra});
    }
    report(state, before, 1);
}

/// Admission and end of one query.
void entryAdmission(benchmark::State &state)
{
    const std::vector<RequestClass> classes{{"lookup", "riders", target}, {"browse", "riders", target}};
    EntryAdmission admission(classes);
    EntryActions actions;
    TimePoint now = origin;
    std::uint64_t query = 0;
    for (int i = 0; i < 1000; ++i) {
        admission.offer(now, {QueryId{++query}, ClassIndex{0}, now + 100ms}, actions);
        admission.onFinished(now, {QueryId{query}, 10ms, false}, actions);
        actions.clear();
    }
    const std::uint64_t before = allocationCount();
    for (auto _ : state) {
        now += 1ms;
        actions.clear();
        admission.offer(now, {QueryId{++query}, ClassIndex{0}, now + 100ms}, actions);
        admission.onFinished(now + 10ms, {QueryId{query}, 10ms, false}, actions);
    }
    report(state, before, 2);
}

/// The check of a request that has a known success.
void crashBarCheck(benchmark::State &state)
{
    CrashBar bar(1);
    for (std::uint64_t i = 0; i < 100; ++i) {
        bar.onServerLost(origin, SearcherId{1}, std::vector<Fingerprint>{Fingerprint{1000 + i}});
    }
    bar.onSuccess(origin, Fingerprint{1});
    const std::uint64_t before = allocationCount();
    for (auto _ : state) {
        benchmark::DoNotOptimize(bar.check(origin, Fingerprint{1}));
    }
    report(state, before, 1);
}

/// The choice of the probe server of an unknown request among the given number of searchers.
void crashBarProbe(benchmark::State &state)
{
    std::vector<SearcherId> searchers;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        searchers.push_back(SearcherId{static_cast<std::uint32_t>(i)});
    }
    std::uint64_t fingerprint = 0;
    const std::uint64_t before = allocationCount();
    for (auto _ : state) {
        benchmark::DoNotOptimize(CrashBar::probeServer(Fingerprint{++fingerprint}, searchers));
    }
    report(state, before, 1);
}

BENCHMARK(gateStart)->Arg(30)->Arg(1700);
BENCHMARK(gateQueue)->Arg(30)->Arg(1700);
BENCHMARK(queryController)->Arg(30)->Arg(1700);
BENCHMARK(entryAdmission);
BENCHMARK(crashBarCheck);
BENCHMARK(crashBarProbe)->Arg(30)->Arg(1700);

} // namespace

} // namespace sassafrasvane

BENCHMARK_MAIN();
