#include "scenarios.h"
#include "setups.h"

#include <array>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Time that every run gets before it is measured, to become warm.
constexpr Duration warmUp = 10s;
constexpr Duration outAt = 10s;
/// An order is in force everywhere after this time.
constexpr Duration inForce = 2s;
/// The searchers go away this long after the order.
constexpr Duration goneAfter = 3s;
constexpr Duration backAt = 30s;
constexpr Duration moveEnd = 50s;

/// Takes failure domain "a" out and back. \return when the measured time began.
TimePoint moveDomain(Tier &tier)
{
    tier.run(warmUp);
    const TimePoint start = tier.loop().now();
    VirtualLoop &loop = tier.loop();
    const auto ofDomain = [&tier](const auto &apply) {
        for (std::uint32_t i = 0; i < tier.searcherCount(); ++i) {
            if (tier.domainOf(SearcherId{i}) == "a") {
                apply(tier.searcher(SearcherId{i}));
            }
        }
    };
    loop.at(start + outAt + inForce, [&tier] { tier.setDomainsOut({"a"}); });
    loop.at(start + outAt + goneAfter, [ofDomain] { ofDomain([](FakeSearcher &searcher) { searcher.goDown(); }); });
    loop.at(start + backAt - 1s, [ofDomain] { ofDomain([](FakeSearcher &searcher) { searcher.startCold(); }); });
    loop.at(start + backAt + inForce, [&tier] { tier.setDomainsOut({}); });
    tier.run(moveEnd);
    tier.run(3s, false);
    return start;
}

void runMove(const std::string &mix, const TierSetup &setup, Report &report, const std::string &curve)
{
    Tier ours(setup);
    const TimePoint start = moveDomain(ours);
    Tier baseline(asBaseline(setup));
    moveDomain(baseline);
    const std::array<std::pair<const char *, std::pair<Duration, Duration>>, 4> phases{{
        {"before", {0s, outAt}},
        {"leaving", {outAt, outAt + 5s}},
        {"out", {outAt + 5s, backAt}},
        {"returning", {backAt, backAt + 10s}},
    }};
    for (const auto &[phase, times] : phases) {
        for (std::size_t cls = 0; cls < setup.classes.size(); ++cls) {
            const auto isWanted = [&, begin = times.first, end = times.second](const QueryRecord &record) {
                return record.cls == cls && record.startedAt >= start + begin && record.startedAt < start + end;
            };
            const Figures mine = figuresOf(ours.records(), isWanted);
            const Figures theirs = figuresOf(baseline.records(), isWanted);
            const std::string scenario = mix + ": " + setup.classes[cls].name;
            const std::string prefix = std::string(phase) + " ";
            const ClassTarget &target = setup.classes[cls].target;
            const std::string bound = "<= " + std::to_string(target.latency.count() / 1000);
            report.add(
                scenario, prefix + "p99 ms", bound, mine.p99, theirs.p99, mine.p99 <= toMilliseconds(target.latency));
            report.add(scenario,
                       prefix + "coverage p1",
                       ">= " + std::to_string(target.completeness).substr(0, 4),
                       mine.coverageP1,
                       theirs.coverageP1,
                       mine.coverageP1 >= target.completeness);
            report.add(scenario, prefix + "extra load", "", mine.extraLoad, theirs.extraLoad, true);
        }
    }
    for (std::size_t cls = 0; cls < setup.classes.size(); ++cls) {
        const ClassTarget &target = setup.classes[cls].target;
        const Figures whole = figuresOf(ours.records(), [cls](const QueryRecord &record) { return record.cls == cls; });
        report.add(mix + ": " + setup.classes[cls].name,
                   "whole run extra load",
                   "<= " + std::to_string(target.extraLoad).substr(0, 4),
                   whole.extraLoad,
                   -1,
                   whole.extraLoad <= target.extraLoad);
    }
    if (!curve.empty()) {
        const std::array<CurveMark, 2> marks{{{10, "domain a out"}, {30, "domain a back"}}};
        writeCurves(curve, mix, ours.records(), baseline.records(), start, marks);
    }
}

} // namespace

void runDomainMove(std::uint64_t seed, Report &report, const std::string &curves)
{
    const bool isDrawn = seed == 1 && !curves.empty();
    runMove("velodrome mix", trackMix(seed), report, isDrawn ? curves + "/domain-move-velodromes.svg" : "");
    runMove("audio guide mix", guideMix(seed), report, isDrawn ? curves + "/domain-move-audio-guides.svg" : "");
}

} // namespace sassafrasvane
